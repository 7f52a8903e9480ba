import type { Rollout, Shares } from '@snipenotch/contracts'
import { type Counts, sumCounts } from './Counts.js'
import { type Fault, findFault } from './findFault.js'
import { MIN_STEP_REQUESTS, planShare } from './planShare.js'
import type { Basis, EvidenceWindows, RolloutDecision, RolloutEvidence, RolloutInput } from './RolloutDecision.js'
import { ROLLOUT_WATCH_PERIOD_MS } from './ROLLOUT_WATCH_PERIOD_MS.js'

/**
 * p-value below which a version is rolled back. A rollback cannot be undone, and the versions are compared every second
 * in many scopes, so the threshold must not be reached by chance.
 */
const ROLLBACK_P_VALUE = 1e-6

/** p-value below which a version may be worse than the old one; no step is made until there is more evidence. */
const UNCONFIRMED_FAULT_P_VALUE = 0.01

/** Time after a step within which nodes may still use the previous shares, in milliseconds. */
export const STEP_PROPAGATION_MS = 2000

/**
 * Time for which a fault has to last if the old version has no traffic to compare with, in milliseconds. Meanwhile
 * nodes open their circuit breakers, and the old version's results for that traffic show whether the fault is shared.
 */
const FAULT_CONFIRMATION_MS = 5000

/** Time for which a controller that has just taken over may collect evidence after the deadline, in milliseconds. */
const TAKEOVER_GRACE_MS = 15_000

/**
 * Time after a rollout's start, in milliseconds, within which a controller that begins to collect evidence is
 * considered to be the first one, not one that has taken over.
 */
const START_TOLERANCE_MS = 5000

/** Part of the warm slots that a version's share may use; the rest is headroom. */
const USABLE_CAPACITY_SHARE = 0.8

/** Minimum growth factor of a step limited by capacity; less does not justify a new configuration version. */
const MIN_STEP_GROWTH = 1.2

/** Factor on the maximum share when a share is lowered to fit the capacity, so that noise does not lower it again. */
const LOWERED_SHARE_FACTOR = 0.8

/** Part of its expected requests that the new version must receive; with less, nodes have opened their breakers. */
const MIN_TRAFFIC_RATIO = 0.5

/** Minimum number of expected requests; with fewer, missing ones may be due to chance. */
const MIN_EXPECTED_REQUESTS = 20

/** Minimum share from which a rollout may finish in one step at its deadline. */
const MIN_FINISH_SHARE = 0.5

/** Current state of a rollout, derived from the input of a decision. */
interface RolloutProgress {
  readonly rollout: Rollout
  /** Current share of the new version. */
  readonly share: number
  readonly total: Basis
  /** Requests of both versions per second. */
  readonly rate: number
  /** Maximum share that the new version's warm capacity can serve. */
  readonly maxShare: number
  /** Time until the deadline, in milliseconds. */
  readonly timeLeft: number
  /**
   * Time since nodes are assumed to have applied the current share, in milliseconds: since `STEP_PROPAGATION_MS` after
   * this controller first saw the step.
   */
  readonly heldFor: number
}

function formatShare (share: number): string {
  return `${Number((share * 100).toPrecision(2))}%`
}

function toShares ({ from, to }: Rollout, share: number): Shares {
  return { [from]: 1 - share, [to]: share }
}

function sumVersion (evidence: readonly RolloutEvidence[], version: string): Counts {
  return sumCounts(evidence.filter((part) => part.version === version))
}

/**
 * Computes the slots that the new version would keep busy with all of the traffic. On routes that it has hardly served,
 * the latencies of both versions are used. Little's law: concurrent requests are rate times latency.
 */
function computeSlotDemand ({ sinceStep, sinceStart }: EvidenceWindows, rollout: Rollout, heldFor: number): number {
  let demand = 0
  for (const route of new Set(sinceStep.map((part) => part.route))) {
    const onRoute = sinceStep.filter((part) => part.route === route)
    const candidate = sumVersion(onRoute, rollout.to)
    const both = sumCounts([candidate, sumVersion(onRoute, rollout.from)])
    // Just after a step, the latencies before it are more reliable than the few since.
    const earlier = sumVersion(sinceStart.filter((part) => part.route === route), rollout.to)
    const { latencySum, requests } = [candidate, earlier].find((counts) => counts.requests >= MIN_STEP_REQUESTS) ?? both
    demand += both.requests / heldFor * latencySum / Math.max(1, requests)
  }
  return demand
}

function computeProgress (input: RolloutInput, rollout: Rollout): RolloutProgress {
  const { sinceStep } = input.windows
  const candidate = sumVersion(sinceStep, rollout.to)
  const reference = sumVersion(sinceStep, rollout.from)
  const both = sumCounts([candidate, reference])
  const heldFor = Math.max(0, input.now - input.stepSeenAt - STEP_PROPAGATION_MS)
  const rate = heldFor === 0 ? 0 : both.requests / heldFor * 1000
  const demand = heldFor === 0 ? 0 : computeSlotDemand(input.windows, rollout, heldFor)
  const maxShare = input.capacity.to === 0
    ? 0
    : Math.min(1, USABLE_CAPACITY_SHARE * input.capacity.to / Math.max(1e-9, demand))
  return {
    rollout,
    share: input.service.shares[rollout.to] ?? 0,
    total: { scope: 'in total', candidate, reference },
    rate,
    maxShare,
    timeLeft: rollout.finishBy - input.wall,
    heldFor
  }
}

/** Formats counts; rounds them, as a reference weighted by the new version's route mix need not be an integer. */
function describeCounts (counts: Counts, measure: Fault['measure']): string {
  const what = measure === 'failures' ? 'failed' : 'were slow'
  return `${Math.round(counts[measure])} of ${Math.round(counts.requests)} requests ${what}`
}

function describeFault ({ from, to }: Rollout, fault: Fault): string {
  const verb = fault.measure === 'failures' ? 'fails' : 'is slow'
  const reference = `${describeCounts(fault.reference, fault.measure)} on ${from}`
  const time = fault.compared ? 'in the same time' : 'before'
  return `${to} ${verb} ${fault.scope}: ${describeCounts(fault.candidate, fault.measure)}, against ${reference} ${time}`
}

function findWorstFault (input: RolloutInput, rollout: Rollout): Fault {
  const { sinceStep, lastMinute, lastSeconds, sinceStart } = input.windows
  const faults = [sinceStep, lastMinute, lastSeconds].map((evidence) => findFault(evidence, sinceStart, rollout))
  return faults.reduce((worst, fault) => fault.pValue < worst.pValue ? fault : worst)
}

function composeHold (reason: string, basis: Basis, suspected = false): RolloutDecision {
  return { kind: 'hold', reason, basis, suspected }
}

function composeRollback (rollout: Rollout, reason: string, basis: Basis): RolloutDecision {
  return { kind: 'take-back', shares: toShares(rollout, 0), reason, basis }
}

/**
 * Decides on a statistically significant fault: rolls back, or waits for confirmation if there is no traffic to compare
 * with.
 */
function decideFault (input: RolloutInput, rollout: Rollout, fault: Fault): RolloutDecision {
  const { suspectedSince, now } = input
  const reason = describeFault(rollout, fault)
  if (!fault.compared && (suspectedSince === undefined || now - suspectedSince < FAULT_CONFIRMATION_MS)) {
    return composeHold(`${reason}; waiting for traffic on ${rollout.from} to compare with`, fault, true)
  }
  return composeRollback(rollout, reason, fault)
}

/** Describes why `evidence` is insufficient to judge the new version; undefined if it is sufficient. */
function describeInsufficientEvidence (
  input: RolloutInput, rollout: Rollout, evidence: readonly RolloutEvidence[], period: string
): string | undefined {
  const silent = input.dataCentres.filter((name) => !evidence.some(({ dataCentre }) => dataCentre === name))
  if (silent.length > 0) return `no evidence ${period} from data centre ${silent.join(', ')}`
  const { requests } = sumVersion(evidence, rollout.to)
  if (requests >= MIN_STEP_REQUESTS) return undefined
  return `the evidence is too thin: ${requests} requests on ${rollout.to} ${period}, ${MIN_STEP_REQUESTS} needed`
}

/** Describes that the new version receives less traffic than its share; undefined if it does not. */
function describeMissingTraffic (input: RolloutInput, progress: RolloutProgress): string | undefined {
  const { rollout: { from, to }, share, total: { candidate, reference } } = progress
  const { sinceStep } = input.windows
  const expected = share * (candidate.requests + reference.requests)
  if (expected >= MIN_EXPECTED_REQUESTS && candidate.requests < MIN_TRAFFIC_RATIO * expected) {
    return `${to} received ${candidate.requests} requests where its share is ${Math.round(expected)}: nodes have cut it or have not applied the step`
  }
  for (const route of new Set(sinceStep.map((part) => part.route))) {
    const onRoute = sinceStep.filter((part) => part.route === route)
    const found = sumVersion(onRoute, to).requests
    const routeExpected = share * (found + sumVersion(onRoute, from).requests)
    if (routeExpected >= MIN_EXPECTED_REQUESTS && found < MIN_TRAFFIC_RATIO * routeExpected) {
      return `${to} received ${found} requests on route ${route} where its share is ${Math.round(routeExpected)}: nodes have cut it there`
    }
  }
  return undefined
}

/** Describes how the new version appears worse in `evidence`; undefined if it does not. */
function describeUnconfirmedFault (
  input: RolloutInput, rollout: Rollout, evidence: readonly RolloutEvidence[]
): string | undefined {
  const fault = findFault(evidence, input.windows.sinceStart, rollout)
  return fault.pValue >= UNCONFIRMED_FAULT_P_VALUE ? undefined : `not proven yet: ${describeFault(rollout, fault)}`
}

/** Describes why the evidence since the last step does not allow another step; undefined if it does. */
function describeObstacle (input: RolloutInput, progress: RolloutProgress): string | undefined {
  const { rollout } = progress
  const { sinceStep } = input.windows
  return describeInsufficientEvidence(input, rollout, sinceStep, 'since the last step') ??
    describeMissingTraffic(input, progress) ??
    describeUnconfirmedFault(input, rollout, sinceStep)
}

/**
 * Describes why the new version may not finish at the deadline; undefined if it may. Shortly after the last step there
 * is little evidence since it, so that of the last minute is used instead; the watch period follows anyway.
 */
function describeFinishObstacle (input: RolloutInput, progress: RolloutProgress): string | undefined {
  const { rollout } = progress
  const { sinceStep, lastMinute } = input.windows
  const evidence = describeInsufficientEvidence(input, rollout, sinceStep, 'since the last step') === undefined
    ? sinceStep
    : lastMinute
  return describeInsufficientEvidence(input, rollout, evidence, 'lately') ?? describeMissingTraffic(input, progress) ??
    describeUnconfirmedFault(input, rollout, evidence)
}

function describeEquivalence ({ rollout: { from, to }, total: { candidate, reference } }: RolloutProgress): string {
  const describe = ({ requests, failures, slow }: Counts): string =>
    `${requests} requests, ${failures} failed, ${slow} slow`
  return `${to} behaves like ${from}: ${describe(candidate)}, against ${describe(reference)} on ${from}`
}

/** True if this controller has taken over a running rollout and has evidence of only a part of it. */
function isTakeover ({ now, collectingSince, wall }: RolloutInput, { startedAt }: Rollout): boolean {
  return wall - startedAt - (now - collectingSince) >= START_TOLERANCE_MS
}

/** Decides at or after the deadline: without sufficient evidence that the new version is good, it is rolled back. */
function decideAtDeadline (input: RolloutInput, progress: RolloutProgress): RolloutDecision {
  const { rollout, share, total, maxShare } = progress
  const obstacle = describeFinishObstacle(input, progress)
  if (obstacle === undefined && share >= MIN_FINISH_SHARE && maxShare >= 1) return composeFinish(progress)
  if (isTakeover(input, rollout) && input.now - input.collectingSince < TAKEOVER_GRACE_MS) {
    return composeHold('past the stated time; this controller has just taken over and is gathering evidence', total)
  }
  const why = obstacle ?? (maxShare < 1
    ? `the warm capacity of ${rollout.to} bears only ${formatShare(maxShare)} of the traffic`
    : `${rollout.to} has shown itself only at a share of ${formatShare(share)}`)
  return composeRollback(rollout, `not shown to be good by the stated time: ${why}`, total)
}

function composeFinish (progress: RolloutProgress): RolloutDecision {
  const { rollout, total } = progress
  return { kind: 'finish', shares: toShares(rollout, 1), reason: describeEquivalence(progress), basis: total }
}

/** Lowers a share that exceeds the warm capacity. */
function decideCapacity ({ rollout, share, maxShare, total, heldFor }: RolloutProgress): RolloutDecision | undefined {
  if (heldFor === 0 || share <= maxShare) return undefined
  const reason = `the warm capacity of ${rollout.to} bears ${formatShare(maxShare)} of the traffic, not ${formatShare(share)}`
  return { kind: 'step', shares: toShares(rollout, LOWERED_SHARE_FACTOR * maxShare), reason, basis: total }
}

/** Decides on the first share, which requires traffic and warm capacity but no evidence on the new version. */
function decideFirstStep (progress: RolloutProgress): RolloutDecision {
  const { rollout, total, rate, maxShare, timeLeft, heldFor } = progress
  const plan = planShare(0, timeLeft, rate)
  if (heldFor < plan.holdMs) return composeHold('measuring the traffic before the first step', total)
  if (total.reference.requests === 0) return composeHold('the evidence is too thin: no traffic since the last step', total)
  if (maxShare === 0) return composeHold(`${rollout.to} has no warm backend server`, total)
  const share = Math.min(plan.share, maxShare)
  return { kind: 'step', shares: toShares(rollout, share), reason: `first share of ${formatShare(share)}`, basis: total }
}

function decideStep (input: RolloutInput, progress: RolloutProgress): RolloutDecision {
  const { rollout, share, total, rate, maxShare, timeLeft, heldFor } = progress
  if (share === 0 && timeLeft > 0) return decideFirstStep(progress)
  if (timeLeft <= 0) return decideAtDeadline(input, progress)
  const obstacle = describeObstacle(input, progress)
  if (obstacle !== undefined) return composeHold(obstacle, total)
  const plan = planShare(share, timeLeft, rate)
  if (heldFor < plan.holdMs) return composeHold(`${describeEquivalence(progress)}; holding ${formatShare(share)}`, total)
  if (share >= 1) return composeFinish(progress)
  const next = Math.min(plan.share, maxShare)
  if (next < Math.min(1, share * MIN_STEP_GROWTH)) {
    return composeHold(`the warm capacity of ${rollout.to} bears ${formatShare(maxShare)} of the traffic and no more`, total)
  }
  const reason = `${describeEquivalence(progress)}; share raised from ${formatShare(share)} to ${formatShare(next)}`
  return { kind: 'step', shares: toShares(rollout, next), reason, basis: total }
}

function decideWatch (input: RolloutInput, progress: RolloutProgress, fault: Fault): RolloutDecision {
  const { rollout, total } = progress
  if (input.wall - (rollout.endedAt ?? rollout.finishBy) >= ROLLOUT_WATCH_PERIOD_MS) {
    return composeHold('finished; the watch period is over', total)
  }
  if (fault.pValue < ROLLBACK_P_VALUE) return decideFault(input, rollout, fault)
  return composeHold('finished; watching for faults that show late', total)
}

/**
 * Decides on the next action of a service's rollout: step, hold, finish or roll back (`take-back`). Undefined if the
 * service has no rollout or its rollout has been rolled back.
 */
export function decideRollout (input: RolloutInput): RolloutDecision | undefined {
  const { rollout } = input.service
  if (rollout === undefined || rollout.outcome === 'taken-back') return undefined
  const progress = computeProgress(input, rollout)
  const fault = findWorstFault(input, rollout)
  if (rollout.outcome === 'finished') return decideWatch(input, progress, fault)
  if (fault.pValue < ROLLBACK_P_VALUE) return decideFault(input, rollout, fault)
  return decideCapacity(progress) ?? decideStep(input, progress)
}
