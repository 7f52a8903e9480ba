import { composeRolloutStep, type Milliseconds, type Rollout, type Service } from '@snipenotch/contracts'
import {
  createEvidenceCollector, decideRollout, ROLLOUT_WATCH_PERIOD_MS, type EvidenceCollector, type RolloutDecision
} from '@snipenotch/decisions'
import {
  createConfigurationRepository, formatPublishError, type PublishOutcome, type StoredConfiguration
} from '@snipenotch/store'
import type { ControlPlane, PooledEvidence } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createLease } from './createLease.js'

/** Name of the lease that the active rollout controller holds. */
const LEASE_NAME = 'controller'

/** Minimum interval between two log lines about the same held rollout, in milliseconds. */
const HOLD_LOG_INTERVAL_MS = 30_000

/** Advances the rollouts of the mesh, one round at a time, while its node is a relay and holds the lease. */
export interface RolloutDriver {
  /**
   * Renews the lease, reads the accepted configuration and publishes the resulting changes; logs errors and never
   * rejects.
   */
  readonly runRound: () => Promise<void>
  /** Releases the lease. */
  readonly release: () => Promise<void>
}

/** State of one active rollout. */
interface RolloutState {
  readonly rollout: Rollout
  readonly collector: EvidenceCollector
  step: number
  suspectedSince: Milliseconds | undefined
  /** Highest step whose operation id was already used by a removed rollout with the same id. */
  lastUsedStep: number
  holdLoggedAt: Milliseconds | undefined
}

type RolloutChange = Exclude<RolloutDecision, { kind: 'hold' }>

const OUTCOME_BY_CHANGE = { step: 'running', finish: 'finished', 'take-back': 'taken-back' } as const

const EVENT_BY_CHANGE = { step: 'rolloutStepped', finish: 'rolloutFinished', 'take-back': 'rolloutTakenBack' } as const

/**
 * Creates the driver. It collects evidence while its node is a relay, even without the lease, so that evidence is
 * available when it takes over the lease.
 */
export function createRolloutDriver (context: NodeContext, control: ControlPlane): RolloutDriver {
  const { clock, log, counters, identity } = context
  const repository = createConfigurationRepository(context.table, context.objects)
  const lease = createLease(context, LEASE_NAME, `${identity.host}/${identity.incarnation}`)
  const states = new Map<string, RolloutState>()
  let accepted: StoredConfiguration | undefined

  function isActive ({ rollout }: Service): boolean {
    if (rollout === undefined || rollout.outcome === 'taken-back') return false
    return rollout.outcome === 'running' || clock.wall() - (rollout.endedAt ?? 0) < ROLLOUT_WATCH_PERIOD_MS
  }

  /** Updates the states to one for each active rollout; a newly seen step starts a new collection of evidence. */
  function updateStates (services: readonly Service[]): void {
    const active = services.filter(isActive)
    for (const name of states.keys()) if (!active.some((service) => service.name === name)) states.delete(name)
    for (const { name, rollout } of active) {
      if (rollout === undefined) continue
      const state = states.get(name)
      if (state?.rollout.id !== rollout.id || state.rollout.startedAt !== rollout.startedAt) {
        const collector = createEvidenceCollector(clock.now())
        const { step } = rollout
        states.set(name, {
          rollout, collector, step, suspectedSince: undefined, lastUsedStep: 0, holdLoggedAt: undefined
        })
      } else if (state.step < rollout.step) {
        state.step = rollout.step
        state.collector.beginStep(clock.now())
      }
    }
  }

  function addEvidence ({ dataCentre, evidence }: PooledEvidence): void {
    for (const [name, { collector }] of states) {
      const own = evidence.filter(({ service }) => service === name)
      if (own.length > 0) collector.add(dataCentre, own, clock.now())
    }
  }

  /**
   * Reads the accepted configuration, and its body only if it has changed; returns false if a read fails or if there is
   * no configuration yet.
   */
  async function readAccepted (): Promise<boolean> {
    const current = await repository.readCurrent()
    if (current.isErr()) return false
    if (current.value === undefined) return false
    if (current.value.digest === accepted?.digest) return true
    const body = await repository.readBody(current.value.digest)
    if (body.isErr()) return false
    accepted = { digest: current.value.digest, configuration: body.value }
    return true
  }

  function decide (service: Service, state: RolloutState): RolloutDecision | undefined {
    const now = clock.now()
    const endpoints = control.view.listEndpoints(service.name)
    const sumWarmSlots = (version: string): number =>
      endpoints.reduce((sum, endpoint) => endpoint.version === version ? sum + endpoint.warmSlots : sum, 0)
    return decideRollout({
      service,
      windows: state.collector.read(now),
      capacity: { from: sumWarmSlots(state.rollout.from), to: sumWarmSlots(state.rollout.to) },
      dataCentres: state.collector.listDataCentres(now),
      stepSeenAt: state.collector.stepSeenAt(),
      collectingSince: state.collector.collectingSince,
      suspectedSince: state.suspectedSince,
      now,
      wall: clock.wall()
    })
  }

  function recordHold (service: Service, state: RolloutState, decision: RolloutDecision & { kind: 'hold' }): void {
    state.suspectedSince = decision.suspected ? state.suspectedSince ?? clock.now() : undefined
    if (state.holdLoggedAt !== undefined && clock.now() - state.holdLoggedAt < HOLD_LOG_INTERVAL_MS) return
    state.holdLoggedAt = clock.now()
    log('rolloutHeld', { service: service.name, rollout: state.rollout.id, step: state.step, reason: decision.reason })
  }

  function recordPublished (
    service: Service, state: RolloutState, change: RolloutChange, step: number, outcome: PublishOutcome, base: number
  ): void {
    const fields = { service: service.name, rollout: state.rollout.id, step }
    if (outcome.written) {
      counters.count('rollouts', change.kind)
      const { shares, reason } = change
      log(EVENT_BY_CHANGE[change.kind], { ...fields, version: outcome.version, shares, reason })
    } else if (outcome.version <= base) {
      // The configuration that was read is at least as new as this operation but lacks the step, so a removed rollout
      // with the same id has already used this operation id.
      state.lastUsedStep = step
      log('rolloutStepUsed', { ...fields, version: outcome.version })
    }
  }

  async function publish (
    service: Service, state: RolloutState, change: RolloutChange, fencing: number, base: number
  ): Promise<void> {
    const { id, from, to } = state.rollout
    const step = Math.max(state.step, state.lastUsedStep) + 1
    const operationId = `rollout/${id}/${step}`
    const share = Math.round((change.shares[to] ?? 0) * 1000) / 10
    const outcome = OUTCOME_BY_CHANGE[change.kind]
    const summary = `rollout of ${service.name} from ${from} to ${to} ${outcome} at ${share}%: ${change.reason}`
    const author = `rollout-controller/${identity.host}`
    const published = await repository.publish(operationId, (previous) => {
      const { shares, reason } = change
      const next = { service: service.name, rolloutId: id, after: state.step, step, shares, outcome, reason }
      const composed = composeRolloutStep(previous, next, { operationId, author, acceptedAt: clock.wall(), summary })
      return composed.unwrapOr(undefined)
    }, { lease: LEASE_NAME, fencing })
    if (published.isOk()) {
      recordPublished(service, state, change, step, published.value, base)
      return
    }
    log('rolloutStepFailed', { service: service.name, rollout: id, step, detail: formatPublishError(published.error) })
    if (published.error.kind === 'fenced') lease.reset()
  }

  async function runRound (): Promise<void> {
    if (!control.isRelay()) {
      states.clear()
      await lease.release()
      return
    }
    const current = control.view.configuration()
    if (current !== undefined && current.version >= (accepted?.configuration.version ?? 0)) {
      updateStates(Object.values(current.services))
    }
    const fencing = await lease.ensureHeld()
    if (fencing === undefined || !await readAccepted() || accepted === undefined) return
    const { services, version } = accepted.configuration
    updateStates(Object.values(services))
    for (const [name, state] of states) {
      const service = services[name]
      const decision = service === undefined ? undefined : decide(service, state)
      if (service === undefined || decision === undefined) continue
      if (decision.kind === 'hold') recordHold(service, state, decision)
      else await publish(service, state, decision, fencing, version)
    }
  }

  control.onEvidence(addEvidence)
  return {
    runRound: async () => {
      try {
        await runRound()
      } catch (error) {
        log('internalError', { error: String(error) })
      }
    },
    release: () => lease.release()
  }
}
