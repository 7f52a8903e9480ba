import { toMilliseconds, type Evidence, type Rollout, type Service, type Shares } from '@snipenotch/contracts'
import { createEvidenceCollector, createVersionFaultDetector, decideRollout, type VersionFaultDetector } from '@snipenotch/decisions'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Scenarios of the rollout benchmark. */
export const ROLLOUT_SCENARIOS = [
  'good', 'bad from the start', 'bad later', 'bad under load', 'bad on a single route', 'slow', 'thin traffic'
] as const

/** Name of a rollout scenario. */
export type RolloutScenario = typeof ROLLOUT_SCENARIOS[number]

/** Results of one controller in one scenario over all seeds. */
export interface RolloutFigures {
  readonly scenario: RolloutScenario
  readonly controller: 'snipenotch' | 'naive'
  readonly finished: number
  /** Rollouts finished by their deadline. */
  readonly onTime: number
  readonly takenBack: number
  /**
   * Rollouts rolled back although no fault had occurred; with thin traffic this is the documented decision at the
   * deadline.
   */
  readonly falseTakeBacks: number
  readonly undecided: number
  /** Share of all requests of the run that the new version received, mean over seeds. */
  readonly newShare: number
  /** Requests to the new version since its first faulty request, mean over seeds. */
  readonly requestsAfter: number
  /** Seconds from the first faulty request to the rollback, mean over the seeds that rolled back after a fault. */
  readonly secondsToTakeBack: number | undefined
}

const NODE_COUNT = 8
const FINISH_SECONDS = 300
const TOTAL_SECONDS = 420
const LATE_FAULT_SECOND = 200
const LOAD_FAULT_SHARE = 0.3
const BASE_FAILURE_RATE = 0.002
const BASE_SLOW_RATE = 0.03

/** Naive controller: fixed steps at a fixed interval, with one failure threshold for the last interval. */
const NAIVE_SHARES = [0.1, 0.25, 0.5, 0.75, 1] as const
const NAIVE_WAIT_SECONDS = 50
const NAIVE_THRESHOLD = 0.05

interface ScenarioRun {
  outcome: Rollout['outcome'],
  newVersionRequests: number,
  totalRequests: number,
  requestsAfterFault: number,
  faultAt: number | undefined,
  endedAt: number
}

function isFaulty (scenario: RolloutScenario, second: number, share: number, route: string): boolean {
  switch (scenario) {
    case 'good': case 'thin traffic': return false
    case 'bad from the start': case 'slow': return true
    case 'bad later': return second >= LATE_FAULT_SECOND
    case 'bad under load': return share >= LOAD_FAULT_SHARE
    case 'bad on a single route': return route === 'repairs'
  }
}

function createService (shares: Shares, step: number, outcome: Rollout['outcome'], endedAt: number): Service {
  const times = { startedAt: 0, finishBy: FINISH_SECONDS * 1000, ...(outcome === 'running' ? {} : { endedAt }) }
  return {
    name: 'clocks',
    stable: 'v1',
    shares,
    limits: { slots: 10, connections: 100, queue: 40, expected_latency_ms: 100 },
    rollout: { id: 'bench', from: 'v1', to: 'v2', step, outcome, reason: '', ...times }
  }
}

function runScenario (scenario: RolloutScenario, seed: number, isNaive: boolean): ScenarioRun {
  const generator = xoroshiro128plus(seed)
  const drawNumber = (): number => uniformFloat64(generator)
  const detectors: VersionFaultDetector[] = Array.from({ length: NODE_COUNT }, () =>
    createVersionFaultDetector(drawNumber))
  const collector = createEvidenceCollector(toMilliseconds(0))
  const run: ScenarioRun = {
    outcome: 'running',
    newVersionRequests: 0,
    totalRequests: 0,
    requestsAfterFault: 0,
    faultAt: undefined,
    endedAt: TOTAL_SECONDS
  }
  let service = createService({ v1: 1, v2: 0 }, 0, 'running', 0)
  let suspectedSince = undefined as number | undefined
  let naiveRequests = 0
  let naiveFailures = 0

  function sendRequest (second: number, detector: VersionFaultDetector): void {
    const now = toMilliseconds(second * 1000 + 500)
    const route = drawNumber() < 0.1 ? 'repairs' : 'status'
    const shares = isNaive ? service.shares : detector.selectShares(service, route, now)
    const version = drawNumber() < (shares.v2 ?? 0) ? 'v2' : 'v1'
    const hasFault = version === 'v2' && isFaulty(scenario, second, service.shares.v2 ?? 0, route)
    const isSlow = drawNumber() < (hasFault && scenario === 'slow' ? 0.5 : BASE_SLOW_RATE)
    const failed = drawNumber() < (hasFault && scenario !== 'slow' ? 0.3 : BASE_FAILURE_RATE)
    detector.record({ service, version, route, failed, latency: isSlow ? 300 : 20 }, now)
    run.totalRequests += 1
    if (version === 'v2') recordNewVersionRequest(second, hasFault, failed)
  }

  function recordNewVersionRequest (second: number, hasFault: boolean, failed: boolean): void {
    run.newVersionRequests += 1
    naiveRequests += 1
    if (failed) naiveFailures += 1
    if (hasFault) run.faultAt ??= second
    if (run.faultAt !== undefined) run.requestsAfterFault += 1
  }

  function applyChange (shares: Shares, outcome: Rollout['outcome'], second: number): void {
    service = createService(shares, (service.rollout?.step ?? 0) + 1, outcome, second * 1000)
    run.outcome = outcome
    if (outcome !== 'running') run.endedAt = second
    collector.beginStep(toMilliseconds(second * 1000))
    naiveRequests = 0
    naiveFailures = 0
  }

  function runNaiveStep (second: number): void {
    if (second % NAIVE_WAIT_SECONDS !== 0 || run.outcome !== 'running') return
    if (naiveFailures > NAIVE_THRESHOLD * naiveRequests) { applyChange({ v1: 1, v2: 0 }, 'taken-back', second); return }
    const share = NAIVE_SHARES[second / NAIVE_WAIT_SECONDS - 1]
    if (share === undefined) applyChange({ v1: 0, v2: 1 }, 'finished', second)
    else applyChange({ v1: 1 - share, v2: share }, 'running', second)
  }

  function runDecisionStep (second: number): void {
    const now = toMilliseconds(second * 1000)
    const evidence: Evidence[] = detectors.flatMap((detector) => detector.takeEvidence(now))
    if (evidence.length > 0) collector.add('krakow', evidence, now)
    const decision = decideRollout({
      service,
      windows: collector.read(now),
      capacity: { from: 1000, to: 1000 },
      dataCentres: [],
      stepSeenAt: collector.stepSeenAt(),
      collectingSince: collector.collectingSince,
      suspectedSince: suspectedSince === undefined ? undefined : toMilliseconds(suspectedSince),
      now,
      wall: now
    })
    if (decision === undefined) return
    if (decision.kind === 'hold') suspectedSince = decision.suspected ? suspectedSince ?? now : undefined
    else applyChange(decision.shares, ({ step: 'running', finish: 'finished', 'take-back': 'taken-back' } as const)[decision.kind], second)
  }

  const requestsPerNode = scenario === 'thin traffic' ? 0.02 : 25
  for (let second = 1; second <= TOTAL_SECONDS; second++) {
    for (const detector of detectors) {
      const count = Math.floor(requestsPerNode) + (drawNumber() < requestsPerNode % 1 ? 1 : 0)
      for (let index = 0; index < count; index++) sendRequest(second, detector)
    }
    if (isNaive) runNaiveStep(second)
    else runDecisionStep(second)
  }
  return run
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

/**
 * Runs each scenario on the same seeds with two controllers: the rollout decision with its fault detectors, and the
 * naive controller.
 */
export function runRolloutBench (options: { seeds: number[] }): RolloutFigures[] {
  return ROLLOUT_SCENARIOS.flatMap((scenario) => (['snipenotch', 'naive'] as const).map((controller) => {
    const runs = options.seeds.map((seed) => runScenario(scenario, seed, controller === 'naive'))
    const rolledBackRuns = runs.filter(({ outcome }) => outcome === 'taken-back')
    const delays = rolledBackRuns.flatMap(({ faultAt, endedAt }) => faultAt === undefined ? [] : [endedAt - faultAt])
    return {
      scenario,
      controller,
      finished: runs.filter(({ outcome }) => outcome === 'finished').length,
      onTime: runs.filter(({ outcome, endedAt }) => outcome === 'finished' && endedAt <= FINISH_SECONDS).length,
      takenBack: rolledBackRuns.length,
      falseTakeBacks: rolledBackRuns.filter(({ faultAt }) => faultAt === undefined).length,
      undecided: runs.filter(({ outcome }) => outcome === 'running').length,
      newShare: computeMean(runs.map(({ newVersionRequests, totalRequests }) =>
        newVersionRequests / Math.max(1, totalRequests))),
      requestsAfter: computeMean(runs.map(({ requestsAfterFault }) => requestsAfterFault)),
      secondsToTakeBack: delays.length === 0 ? undefined : computeMean(delays)
    }
  }))
}

/** Formats the results as a Markdown table. */
export function formatRolloutFigures (figures: readonly RolloutFigures[]): string {
  const head = '| scenario | controller | finished | on time | taken back | false take-backs | undecided | new share | requests after | s to take-back |'
  const rows = figures.map((row) => `| ${row.scenario} | ${row.controller} | ${row.finished} | ${row.onTime} | ` +
    `${row.takenBack} | ${row.falseTakeBacks} | ` +
    `${row.undecided} | ${(row.newShare * 100).toFixed(2)}% | ${row.requestsAfter.toFixed(0)} | ` +
    `${row.secondsToTakeBack?.toFixed(1) ?? '-'} |`)
  return [head, '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |', ...rows].join('\n')
}

/** Prints the results as a Markdown table. */
export function printRolloutFigures (figures: readonly RolloutFigures[]): void {
  process.stdout.write(formatRolloutFigures(figures) + '\n')
}
