import type { Rollout, Shares } from '@snipenotch/contracts'
import { type Counts, sumCounts } from './Counts.js'
import { type Fault, findFault } from './findFault.js'
import { planShare, STEP_REQUESTS } from './planShare.js'
import type { Basis, EvidenceWindows, RolloutDecision, RolloutEvidence, RolloutInput } from './RolloutDecision.js'
import { ROLLOUT_WATCH_PERIOD_MS } from './ROLLOUT_WATCH_PERIOD_MS.js'

/**
 * Likelihood below which a version is taken back. A take-back cannot be undone, and the versions are compared every
 * second in many scopes, so chance alone must not reach it.
 */
const BAD_LIKELIHOOD = 1e-6

/** Likelihood below which a version looks worse than the old one, and no step is made until more evidence decides. */
const DOUBTFUL_LIKELIHOOD = 0.01

/** Time after a step in which nodes still use the shares before it, in milliseconds. */
export const SETTLE_MS = 2000

/**
 * Time for which a fault waits when the old version has no traffic to compare with. Nodes cut the new version by
 * themselves meanwhile, and what the old version does with that traffic tells a shared fault apart.
 */
const CONFIRM_MS = 5000

/** Time that a controller which has just taken over may gather evidence past the stated time, in milliseconds. */
const TAKEOVER_GRACE_MS = 15_000

/** Time after a rollout's start within which a controller that begins to pool has not taken over, but began with it. */
const START_SLACK_MS = 5000

/** Part of the warm slots that a version's share may use. */
const USED_CAPACITY = 0.8

/** Least growth of a step that capacity limits; smaller changes of capacity do not justify a configuration version. */
const LEAST_GROWTH = 1.2

/** Part of the bearable share to which a share that is too large is lowered, so that noise lowers it only once. */
const LOWERED_SHARE = 0.8

/** Part of its configured share that the new version must be seen to have; less means that nodes have cut it. */
const SEEN_SHARE = 0.5

/** Expected requests below which a missing part of the evidence may be chance. */
const EXPECTED_REQUESTS = 20

/** Smallest share from which a rollout may finish in one step at the stated time. */
const FINISH_SHARE = 0.5

interface Standing {
  readonly rollout: Rollout
  /** Share of the new version in force. */
  readonly share: number
  readonly total: Basis
  /** Requests of both versions a second. */
  readonly rate: number
  /** Greatest share that the new version's warm capacity bears. */
  readonly bearable: number
  readonly timeLeft: number
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
 * Slots that the new version would keep busy with all of the traffic, by the times of both versions on routes that it
 * has hardly served. Little's law: requests in progress at once are rate times duration.
 */
function computeDemand ({ sinceStep, sinceStart }: EvidenceWindows, rollout: Rollout, heldFor: number): number {
  let demand = 0
  for (const route of new Set(sinceStep.map((part) => part.route))) {
    const onRoute = sinceStep.filter((part) => part.route === route)
    const candidate = sumVersion(onRoute, rollout.to)
    const both = sumCounts([candidate, sumVersion(onRoute, rollout.from)])
    // Just after a step, the times before it tell more than the few since.
    const earlier = sumVersion(sinceStart.filter((part) => part.route === route), rollout.to)
    const { latencySum, requests } = [candidate, earlier].find((counts) => counts.requests >= STEP_REQUESTS) ?? both
    demand += both.requests / heldFor * latencySum / Math.max(1, requests)
  }
  return demand
}

function computeStanding (input: RolloutInput, rollout: Rollout): Standing {
  const { sinceStep } = input.windows
  const candidate = sumVersion(sinceStep, rollout.to)
  const reference = sumVersion(sinceStep, rollout.from)
  const both = sumCounts([candidate, reference])
  const heldFor = Math.max(0, input.now - input.stepSeenAt - SETTLE_MS)
  const rate = heldFor === 0 ? 0 : both.requests / heldFor * 1000
  const demand = heldFor === 0 ? 0 : computeDemand(input.windows, rollout, heldFor)
  const bearable = input.capacity.to === 0 ? 0 : Math.min(1, USED_CAPACITY * input.capacity.to / Math.max(1e-9, demand))
  return {
    rollout,
    share: input.service.shares[rollout.to] ?? 0,
    total: { scope: 'in total', candidate, reference },
    rate,
    bearable,
    timeLeft: rollout.finishBy - input.wall,
    heldFor
  }
}

/** Rounds, as a reference weighted by the new version's mix of routes need not be whole. */
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

function findWorst (input: RolloutInput, rollout: Rollout): Fault {
  const { sinceStep, lastMinute, lastSeconds, sinceStart } = input.windows
  const faults = [sinceStep, lastMinute, lastSeconds].map((evidence) => findFault(evidence, sinceStart, rollout))
  return faults.reduce((worst, fault) => fault.likelihood < worst.likelihood ? fault : worst)
}

function composeHold (reason: string, basis: Basis, suspected = false): RolloutDecision {
  return { kind: 'hold', reason, basis, suspected }
}

function composeTakeBack (rollout: Rollout, reason: string, basis: Basis): RolloutDecision {
  return { kind: 'take-back', shares: toShares(rollout, 0), reason, basis }
}

/** Decides on a proven fault; a fault that nothing can be compared with has to last. */
function decideFault (input: RolloutInput, rollout: Rollout, fault: Fault): RolloutDecision {
  const { suspectedSince, now } = input
  const reason = describeFault(rollout, fault)
  if (!fault.compared && (suspectedSince === undefined || now - suspectedSince < CONFIRM_MS)) {
    return composeHold(`${reason}; waiting for traffic on ${rollout.from} to compare with`, fault, true)
  }
  return composeTakeBack(rollout, reason, fault)
}

/** Returns, in words, that too little was seen of the new version in `evidence`; undefined if it suffices. */
function describeThin (
  input: RolloutInput, rollout: Rollout, evidence: readonly RolloutEvidence[], reach: string
): string | undefined {
  const silent = input.dataCentres.filter((name) => !evidence.some(({ dataCentre }) => dataCentre === name))
  if (silent.length > 0) return `no evidence ${reach} from data centre ${silent.join(', ')}`
  const { requests } = sumVersion(evidence, rollout.to)
  if (requests >= STEP_REQUESTS) return undefined
  return `the evidence is too thin: ${requests} requests on ${rollout.to} ${reach}, ${STEP_REQUESTS} needed`
}

/** Returns, in words, that nodes send the new version less than its share; undefined if they do not. */
function describeCut (input: RolloutInput, standing: Standing): string | undefined {
  const { rollout: { from, to }, share, total: { candidate, reference } } = standing
  const { sinceStep } = input.windows
  const expected = share * (candidate.requests + reference.requests)
  if (expected >= EXPECTED_REQUESTS && candidate.requests < SEEN_SHARE * expected) {
    return `${to} received ${candidate.requests} requests where its share is ${Math.round(expected)}: nodes have cut it or have not applied the step`
  }
  for (const route of new Set(sinceStep.map((part) => part.route))) {
    const onRoute = sinceStep.filter((part) => part.route === route)
    const found = sumVersion(onRoute, to).requests
    const routeExpected = share * (found + sumVersion(onRoute, from).requests)
    if (routeExpected >= EXPECTED_REQUESTS && found < SEEN_SHARE * routeExpected) {
      return `${to} received ${found} requests on route ${route} where its share is ${Math.round(routeExpected)}: nodes have cut it there`
    }
  }
  return undefined
}

/** Returns, in words, that the new version looks worse in `evidence`; undefined if it does not. */
function describeDoubt (
  input: RolloutInput, rollout: Rollout, evidence: readonly RolloutEvidence[]
): string | undefined {
  const doubt = findFault(evidence, input.windows.sinceStart, rollout)
  return doubt.likelihood >= DOUBTFUL_LIKELIHOOD ? undefined : `not proven yet: ${describeFault(rollout, doubt)}`
}

/** Returns why the evidence since the last step does not bear a step, or undefined if it does. */
function describeObstacle (input: RolloutInput, standing: Standing): string | undefined {
  const { rollout } = standing
  const { sinceStep } = input.windows
  return describeThin(input, rollout, sinceStep, 'since the last step') ?? describeCut(input, standing) ??
    describeDoubt(input, rollout, sinceStep)
}

/**
 * Returns why the new version has not shown itself good at the stated time, or undefined if it has. A last step shortly
 * before has gathered little evidence of its own, so the last minute counts as well; the watch period follows.
 */
function describeEndObstacle (input: RolloutInput, standing: Standing): string | undefined {
  const { rollout } = standing
  const { sinceStep, lastMinute } = input.windows
  const evidence = describeThin(input, rollout, sinceStep, 'since the last step') === undefined ? sinceStep : lastMinute
  return describeThin(input, rollout, evidence, 'lately') ?? describeCut(input, standing) ??
    describeDoubt(input, rollout, evidence)
}

function describeGood ({ rollout: { from, to }, total: { candidate, reference } }: Standing): string {
  const describe = ({ requests, failures, slow }: Counts): string =>
    `${requests} requests, ${failures} failed, ${slow} slow`
  return `${to} behaves like ${from}: ${describe(candidate)}, against ${describe(reference)} on ${from}`
}

/** Whether this controller has evidence of only a part of the rollout. */
function isTakenOver ({ now, pooledSince, wall }: RolloutInput, { startedAt }: Rollout): boolean {
  return wall - startedAt - (now - pooledSince) >= START_SLACK_MS
}

/** Decides at or after the stated time: without proof that the new version is good, the old one keeps the traffic. */
function decideEnd (input: RolloutInput, standing: Standing): RolloutDecision {
  const { rollout, share, total, bearable } = standing
  const obstacle = describeEndObstacle(input, standing)
  if (obstacle === undefined && share >= FINISH_SHARE && bearable >= 1) return composeFinish(standing)
  if (isTakenOver(input, rollout) && input.now - input.pooledSince < TAKEOVER_GRACE_MS) {
    return composeHold('past the stated time; this controller has just taken over and is gathering evidence', total)
  }
  const why = obstacle ?? (bearable < 1
    ? `the warm capacity of ${rollout.to} bears only ${formatShare(bearable)} of the traffic`
    : `${rollout.to} has shown itself only at a share of ${formatShare(share)}`)
  return composeTakeBack(rollout, `not shown to be good by the stated time: ${why}`, total)
}

function composeFinish (standing: Standing): RolloutDecision {
  const { rollout, total } = standing
  return { kind: 'finish', shares: toShares(rollout, 1), reason: describeGood(standing), basis: total }
}

/** Lowers a share that the warm capacity no longer bears. */
function decideCapacity ({ rollout, share, bearable, total, heldFor }: Standing): RolloutDecision | undefined {
  if (heldFor === 0 || share <= bearable) return undefined
  const reason = `the warm capacity of ${rollout.to} bears ${formatShare(bearable)} of the traffic, not ${formatShare(share)}`
  return { kind: 'step', shares: toShares(rollout, LOWERED_SHARE * bearable), reason, basis: total }
}

/** Decides on the first share: it needs no evidence on the new version, but traffic and warm capacity. */
function decideFirst (standing: Standing): RolloutDecision {
  const { rollout, total, rate, bearable, timeLeft, heldFor } = standing
  const plan = planShare(0, timeLeft, rate)
  if (heldFor < plan.holdMs) return composeHold('measuring the traffic before the first step', total)
  if (total.reference.requests === 0) return composeHold('the evidence is too thin: no traffic since the last step', total)
  if (bearable === 0) return composeHold(`${rollout.to} has no warm backend server`, total)
  const share = Math.min(plan.share, bearable)
  return { kind: 'step', shares: toShares(rollout, share), reason: `first share of ${formatShare(share)}`, basis: total }
}

function decideStep (input: RolloutInput, standing: Standing): RolloutDecision {
  const { rollout, share, total, rate, bearable, timeLeft, heldFor } = standing
  if (share === 0 && timeLeft > 0) return decideFirst(standing)
  if (timeLeft <= 0) return decideEnd(input, standing)
  const obstacle = describeObstacle(input, standing)
  if (obstacle !== undefined) return composeHold(obstacle, total)
  const plan = planShare(share, timeLeft, rate)
  if (heldFor < plan.holdMs) return composeHold(`${describeGood(standing)}; holding ${formatShare(share)}`, total)
  if (share >= 1) return composeFinish(standing)
  const next = Math.min(plan.share, bearable)
  if (next < Math.min(1, share * LEAST_GROWTH)) {
    return composeHold(`the warm capacity of ${rollout.to} bears ${formatShare(bearable)} of the traffic and no more`, total)
  }
  const reason = `${describeGood(standing)}; share raised from ${formatShare(share)} to ${formatShare(next)}`
  return { kind: 'step', shares: toShares(rollout, next), reason, basis: total }
}

function decideWatch (input: RolloutInput, standing: Standing, fault: Fault): RolloutDecision {
  const { rollout, total } = standing
  if (input.wall - (rollout.endedAt ?? rollout.finishBy) >= ROLLOUT_WATCH_PERIOD_MS) {
    return composeHold('finished; the watch period is over', total)
  }
  if (fault.likelihood < BAD_LIKELIHOOD) return decideFault(input, rollout, fault)
  return composeHold('finished; watching for faults that show late', total)
}

/**
 * Decides what becomes of a service's rollout: next step, hold, finish or take back. Undefined if there is nothing to
 * decide, because the service has no rollout or it has been taken back.
 */
export function decideRollout (input: RolloutInput): RolloutDecision | undefined {
  const { rollout } = input.service
  if (rollout === undefined || rollout.outcome === 'taken-back') return undefined
  const standing = computeStanding(input, rollout)
  const fault = findWorst(input, rollout)
  if (rollout.outcome === 'finished') return decideWatch(input, standing, fault)
  if (fault.likelihood < BAD_LIKELIHOOD) return decideFault(input, rollout, fault)
  return decideCapacity(standing) ?? decideStep(input, standing)
}
