import { toMilliseconds, type Evidence, type Rollout, type Service, type Shares } from '@snipenotch/contracts'
import { createEvidenceCollector, createVersionFaultDetector, decideRollout, type VersionFaultDetector } from '@snipenotch/decisions'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

export const ROLLOUT_SCENARIOS = [
  'good', 'bad from the start', 'bad later', 'bad under load', 'bad on a single route', 'slow', 'thin traffic'
] as const

export type RolloutScenario = typeof ROLLOUT_SCENARIOS[number]

/** Figures of one controller in one scenario over all seeds. */
export interface RolloutFigures {
  readonly scenario: RolloutScenario
  readonly controller: 'snipenotch' | 'naive'
  readonly finished: number
  /** Finished by the stated time. */
  readonly onTime: number
  readonly takenBack: number
  /** Taken back although no fault had shown; for thin traffic that is the documented choice at the stated time. */
  readonly falseTakeBacks: number
  readonly undecided: number
  /** Share of all requests until the end that the new version received, mean over seeds. */
  readonly newShare: number
  /** Requests to the new version after its fault began, mean over seeds. */
  readonly requestsAfter: number
  /** Seconds from the fault's begin to the take-back, mean over the seeds that took back. */
  readonly secondsToTakeBack: number | undefined
}

const NODES = 8
const FINISH_SECONDS = 300
const TOTAL_SECONDS = 420
const LATE_FAULT_SECOND = 200
const LOAD_SHARE = 0.3
const BASE_FAILURES = 0.002
const BASE_SLOW = 0.03

/** The naive controller: fixed steps, a fixed wait, and one failure threshold on the last interval. */
const NAIVE_SHARES = [0.1, 0.25, 0.5, 0.75, 1] as const
const NAIVE_WAIT_SECONDS = 50
const NAIVE_THRESHOLD = 0.05

interface Run { outcome: Rollout['outcome'], fresh: number, all: number, after: number, faultAt: number | undefined, endedAt: number }

function isFaulty (scenario: RolloutScenario, second: number, share: number, route: string): boolean {
  switch (scenario) {
    case 'good': case 'thin traffic': return false
    case 'bad from the start': case 'slow': return true
    case 'bad later': return second >= LATE_FAULT_SECOND
    case 'bad under load': return share >= LOAD_SHARE
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

function runScenario (scenario: RolloutScenario, seed: number, isNaive: boolean): Run {
  const generator = xoroshiro128plus(seed)
  const draw = (): number => uniformFloat64(generator)
  const guards: VersionFaultDetector[] = Array.from({ length: NODES }, () => createVersionFaultDetector(draw))
  const pool = createEvidenceCollector(toMilliseconds(0))
  const run: Run = { outcome: 'running', fresh: 0, all: 0, after: 0, faultAt: undefined, endedAt: TOTAL_SECONDS }
  let service = createService({ v1: 1, v2: 0 }, 0, 'running', 0)
  let suspectedSince = undefined as number | undefined
  let naiveRequests = 0
  let naiveFailures = 0

  function sendRequest (second: number, guard: VersionFaultDetector): void {
    const now = toMilliseconds(second * 1000 + 500)
    const route = draw() < 0.1 ? 'repairs' : 'status'
    const shares = isNaive ? service.shares : guard.selectShares(service, route, now)
    const version = draw() < (shares.v2 ?? 0) ? 'v2' : 'v1'
    const faulty = version === 'v2' && isFaulty(scenario, second, service.shares.v2 ?? 0, route)
    const isSlow = draw() < (faulty && scenario === 'slow' ? 0.5 : BASE_SLOW)
    const failed = draw() < (faulty && scenario !== 'slow' ? 0.3 : BASE_FAILURES)
    guard.record({ service, version, route, failed, latency: isSlow ? 300 : 20 }, now)
    run.all += 1
    if (version === 'v2') recordNew(second, faulty, failed)
  }

  function recordNew (second: number, faulty: boolean, failed: boolean): void {
    run.fresh += 1
    naiveRequests += 1
    if (failed) naiveFailures += 1
    if (faulty) run.faultAt ??= second
    if (run.faultAt !== undefined) run.after += 1
  }

  function applyChange (shares: Shares, outcome: Rollout['outcome'], second: number): void {
    service = createService(shares, (service.rollout?.step ?? 0) + 1, outcome, second * 1000)
    run.outcome = outcome
    if (outcome !== 'running') run.endedAt = second
    pool.beginStep(toMilliseconds(second * 1000))
    naiveRequests = 0
    naiveFailures = 0
  }

  function stepNaive (second: number): void {
    if (second % NAIVE_WAIT_SECONDS !== 0 || run.outcome !== 'running') return
    if (naiveFailures > NAIVE_THRESHOLD * naiveRequests) { applyChange({ v1: 1, v2: 0 }, 'taken-back', second); return }
    const share = NAIVE_SHARES[second / NAIVE_WAIT_SECONDS - 1]
    if (share === undefined) applyChange({ v1: 0, v2: 1 }, 'finished', second)
    else applyChange({ v1: 1 - share, v2: share }, 'running', second)
  }

  function stepDecided (second: number): void {
    const now = toMilliseconds(second * 1000)
    const evidence: Evidence[] = guards.flatMap((guard) => guard.takeEvidence(now))
    if (evidence.length > 0) pool.add('krakow', evidence, now)
    const decision = decideRollout({
      service,
      windows: pool.read(now),
      capacity: { from: 1000, to: 1000 },
      dataCentres: [],
      stepSeenAt: pool.stepSeenAt(),
      collectingSince: pool.collectingSince,
      suspectedSince: suspectedSince === undefined ? undefined : toMilliseconds(suspectedSince),
      now,
      wall: now
    })
    if (decision === undefined) return
    if (decision.kind === 'hold') suspectedSince = decision.suspected ? suspectedSince ?? now : undefined
    else applyChange(decision.shares, ({ step: 'running', finish: 'finished', 'take-back': 'taken-back' } as const)[decision.kind], second)
  }

  const perNode = scenario === 'thin traffic' ? 0.02 : 25
  for (let second = 1; second <= TOTAL_SECONDS; second++) {
    for (const guard of guards) {
      const count = Math.floor(perNode) + (draw() < perNode % 1 ? 1 : 0)
      for (let index = 0; index < count; index++) sendRequest(second, guard)
    }
    if (isNaive) stepNaive(second)
    else stepDecided(second)
  }
  return run
}

function computeMean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

/** Runs each scenario with the project's decision and guards, and with a naive controller, on the same seeds. */
export function runRolloutBench (options: { seeds: number[] }): RolloutFigures[] {
  return ROLLOUT_SCENARIOS.flatMap((scenario) => (['snipenotch', 'naive'] as const).map((controller) => {
    const runs = options.seeds.map((seed) => runScenario(scenario, seed, controller === 'naive'))
    const takenBack = runs.filter(({ outcome }) => outcome === 'taken-back')
    const delays = takenBack.flatMap(({ faultAt, endedAt }) => faultAt === undefined ? [] : [endedAt - faultAt])
    return {
      scenario,
      controller,
      finished: runs.filter(({ outcome }) => outcome === 'finished').length,
      onTime: runs.filter(({ outcome, endedAt }) => outcome === 'finished' && endedAt <= FINISH_SECONDS).length,
      takenBack: takenBack.length,
      falseTakeBacks: takenBack.filter(({ faultAt }) => faultAt === undefined).length,
      undecided: runs.filter(({ outcome }) => outcome === 'running').length,
      newShare: computeMean(runs.map(({ fresh, all }) => fresh / Math.max(1, all))),
      requestsAfter: computeMean(runs.map(({ after }) => after)),
      secondsToTakeBack: delays.length === 0 ? undefined : computeMean(delays)
    }
  }))
}

/** Lays the figures out as a Markdown table. */
export function formatRolloutFigures (figures: readonly RolloutFigures[]): string {
  const head = '| scenario | controller | finished | on time | taken back | false take-backs | undecided | new share | requests after | s to take-back |'
  const rows = figures.map((row) => `| ${row.scenario} | ${row.controller} | ${row.finished} | ${row.onTime} | ` +
    `${row.takenBack} | ${row.falseTakeBacks} | ` +
    `${row.undecided} | ${(row.newShare * 100).toFixed(2)}% | ${row.requestsAfter.toFixed(0)} | ` +
    `${row.secondsToTakeBack?.toFixed(1) ?? '-'} |`)
  return [head, '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |', ...rows].join('\n')
}

/** Prints the table of figures. */
export function printRolloutFigures (figures: readonly RolloutFigures[]): void {
  process.stdout.write(formatRolloutFigures(figures) + '\n')
}
