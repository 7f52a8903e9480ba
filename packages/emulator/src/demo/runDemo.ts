import { setTimeout as awaitTime } from 'node:timers/promises'
import type { Rollout, Service } from '@snipenotch/contracts'
import { formatPublishError } from '@snipenotch/store'
import { formatWrobelIntent, wrobelSmall } from '../layouts/wrobel.js'
import { checkRecords } from '../load/checkRecords.js'
import { createSummary, formatSummary } from '../load/createSummary.js'
import { startLoad, type RunningLoad } from '../load/startLoad.js'
import { awaitCondition } from '../mesh/awaitCondition.js'
import type { HostPlan } from '../mesh/HostPlan.js'
import { startMesh, type CommandResult, type EmulatedMesh } from '../mesh/startMesh.js'
import { createDemoReport, type DemoReport } from './createDemoReport.js'
import { meshStatusSchema } from './meshStatusSchema.js'

const SEED = 20_261_204
/** High enough that, at a share of 10%, the new version of `clocks` gets a step's requests within one hold. */
const RATE_PER_SECOND = 200
const CONVERGENCE_LIMIT_MS = 4000
const DRAIN_LIMIT_MS = 3000
const DRAIN_OBSERVATION_MS = 2000
const RESTORE_LIMIT_MS = 4000
/** Covers the measuring hold and the shares 10%, 50% and 100%: about 6 s each, with propagation and settling. */
const ROLLOUT_DURATION_MS = 24_000
/** Maximum delay between the stated finish time of a rollout and the acceptance of its end. */
const ROLLOUT_GRACE_MS = 4000
const STARTUP_LIMIT_MS = 8000
/** Maximum share of its service's requests that the bad version may get; maximum share of responses that may fail. */
const MAX_BAD_VERSION_SHARE = 0.1
const MAX_FAILED_SHARE = 0.05
const ROLLBACK_OBSERVATION_MS = 1500

/** Rollouts of the demo, by service: `clocks` moves to a good version, `repairs` to one whose requests fail. */
const ROLLOUT_TARGETS: Readonly<Record<string, { to: string, outcome: Rollout['outcome'], failing: boolean }>> = {
  clocks: { to: 'v2', outcome: 'finished', failing: false },
  repairs: { to: 'v2-bad', outcome: 'taken-back', failing: true }
}

function buildPlans (): HostPlan[] {
  const servicesSeen = new Set<string>()
  return wrobelSmall.hosts.map((plan) => {
    const next = ROLLOUT_TARGETS[plan.service]
    // The second host of a service with a rollout runs the new version from the start.
    const isNew = next !== undefined && servicesSeen.has(plan.service)
    servicesSeen.add(plan.service)
    const behaviour = { serviceMs: 5, slots: 10, faults: isNew && next.failing ? [{ effect: 'fail' as const }] : [] }
    return { ...plan, behaviour, version: isNew ? next.to : plan.version }
  })
}

async function readService (mesh: EmulatedMesh, service: string): Promise<Service> {
  const accepted = await mesh.repository.readAccepted()
  if (accepted.isErr()) throw new Error(formatPublishError(accepted.error))
  const found = accepted.value?.configuration.services[service]
  if (found === undefined) throw new Error(`service ${service} is not in the accepted configuration`)
  return found
}

/** Publishes the intents and returns the time in milliseconds until every node has applied the new version. */
async function publishAndMeasure (
  mesh: EmulatedMesh, intents: Readonly<Record<string, string>>, limitMs: number
): Promise<number> {
  const { code, output } = await mesh.publish(intents)
  if (code !== 0) throw new Error(`publish ended with exit code ${code}: ${output.trim()}`)
  const acceptedAt = performance.now()
  const current = await mesh.repository.readCurrent()
  const version = current.isOk() ? current.value?.version ?? Infinity : Infinity
  await awaitCondition(`version ${version} is in force everywhere`, async () => {
    const statuses = await Promise.all(mesh.hosts.map((host) => host.readStatus().catch(() => undefined)))
    return statuses.every((status) => (status?.configurationVersion ?? 0) >= version)
  }, limitMs)
  return performance.now() - acceptedAt
}

function startDemoLoad (mesh: EmulatedMesh): RunningLoad {
  return startLoad({
    nodes: () => mesh.hosts.map(({ requestAddress }) => requestAddress),
    ratePerSecond: RATE_PER_SECOND,
    seed: SEED,
    duplicates: 0.2,
    disconnects: 0.02,
    mix: [
      { kind: 'lookup', method: 'GET', path: '/clocks/17', weight: 10 },
      { kind: 'lookup', method: 'GET', path: '/repairs/17', weight: 5 },
      { kind: 'order', method: 'POST', path: '/repairs/sign-off', weight: 1 },
      { kind: 'order', method: 'POST', path: '/parts/orders', weight: 2 },
      { kind: 'upload', method: 'PUT', path: '/uploads/photo', weight: 0.5, bodyBytes: 500_000 }
    ]
  })
}

function isJson (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}

function describeOutput ({ code, output }: CommandResult): string {
  return `exit code ${code}, ${output.length} characters${isJson(output) ? ' of JSON' : ', not JSON'}`
}

function formatMs (duration: number): string {
  return `${Math.round(duration)} ms`
}

async function runPublish (mesh: EmulatedMesh, report: DemoReport): Promise<void> {
  await publishAndMeasure(mesh, wrobelSmall.intents, STARTUP_LIMIT_MS)
  await awaitCondition('every node routes every service', async () => {
    const statuses = await Promise.all(mesh.hosts.map((host) => host.readStatus().catch(() => undefined)))
    return statuses.every((status) => status?.nodes.length === mesh.hosts.length)
  }, STARTUP_LIMIT_MS)
  // Measured with a change, because the first publish also waits for the processes to start.
  const changed = { ...wrobelSmall.intents, parts: formatWrobelIntent('parts').replace('queue = 40', 'queue = 41') }
  const duration = await publishAndMeasure(mesh, changed, CONVERGENCE_LIMIT_MS * 2)
  report.addResult(duration <= CONVERGENCE_LIMIT_MS, `in effect everywhere within ${CONVERGENCE_LIMIT_MS} ms`,
    `${formatMs(duration)} on ${mesh.hosts.length} nodes`)
}

/**
 * Whether the latest order for the data centre has the given action on every node. The exit code of the command is not
 * enough: an unknown command exits with 0 as well.
 */
async function hasOrder (mesh: EmulatedMesh, dataCentre: string, action: 'drain' | 'restore'): Promise<boolean> {
  const statuses = await Promise.all(mesh.hosts.map((host) => host.readStatus()))
  return statuses.every(({ orders }) => {
    const own = orders.filter(({ subject }) => subject === `data-centre/${dataCentre}`)
    return own.sort((left, right) => right.number - left.number)[0]?.action === action
  })
}

/** Sends an order with the command line and measures the time until every node knows it. */
async function runOrder (
  mesh: EmulatedMesh, report: DemoReport, action: 'drain' | 'restore', dataCentre: string, limitMs: number
): Promise<void> {
  const { code, output } = await mesh.runCommand(action, `data-centre/${dataCentre}`)
  const since = performance.now()
  const isKnown = await awaitCondition('order known', () => hasOrder(mesh, dataCentre, action), limitMs)
    .then(() => true, () => false)
  report.addResult(code === 0 && isKnown, `the ${action} order is known everywhere within ${limitMs} ms`,
    `exit code ${code}, ${isKnown ? `known after ${formatMs(performance.now() - since)}` : 'never known'}, ${output.trim()}`)
}

async function runDrain (mesh: EmulatedMesh, report: DemoReport, dataCentre: string): Promise<void> {
  const drainedHosts = mesh.hosts.filter((host) => host.dataCentre === dataCentre)
  const countRuns = (): number =>
    drainedHosts.reduce((sum, { backendServer }) => sum + backendServer.record.runs.length, 0)
  const before = countRuns()
  await awaitTime(1000)
  const runsPerSecond = countRuns() - before
  const orderedAt = performance.now()
  await runOrder(mesh, report, 'drain', dataCentre, DRAIN_LIMIT_MS)
  await awaitTime(Math.max(0, DRAIN_LIMIT_MS - (performance.now() - orderedAt)))
  const runsAtLimit = countRuns()
  await awaitTime(DRAIN_OBSERVATION_MS)
  const lateRuns = countRuns() - runsAtLimit
  report.addResult(lateRuns === 0 && runsPerSecond > 0, `no new work in ${dataCentre} ${DRAIN_LIMIT_MS} ms after the order`,
    `${lateRuns} requests in ${DRAIN_OBSERVATION_MS} ms, ${runsPerSecond} a second before the order`)
  const runsBeforeRestore = countRuns()
  const since = performance.now()
  await runOrder(mesh, report, 'restore', dataCentre, RESTORE_LIMIT_MS)
  await awaitCondition('work again', () => countRuns() > runsBeforeRestore, RESTORE_LIMIT_MS).catch(() => undefined)
  // Runs after the restore order prove the restore only if there were none before it.
  report.addResult(lateRuns === 0 && countRuns() > runsBeforeRestore, `${dataCentre} gets work again within ${RESTORE_LIMIT_MS} ms`,
    lateRuns === 0 ? formatMs(performance.now() - since) : 'not measured, it never lost its work')
}

/** Waits until the rollout of a service ends and reports whether it had the expected outcome in time. */
async function watchRollout (mesh: EmulatedMesh, report: DemoReport, service: string, limitMs: number): Promise<void> {
  const expected = ROLLOUT_TARGETS[service]
  if (expected === undefined) return
  const since = performance.now()
  let last = await readService(mesh, service)
  await awaitCondition(`rollout of ${service} ends`, async () => {
    last = await readService(mesh, service)
    return last.rollout !== undefined && last.rollout.outcome !== 'running'
  }, limitMs).catch(() => undefined)
  const { rollout, shares } = last
  const figures = `${rollout?.outcome ?? 'no rollout'} after ${formatMs(performance.now() - since)}, shares ` +
    `${JSON.stringify(shares)}, reason "${rollout?.reason ?? ''}"`
  const isOnTime = rollout?.endedAt !== undefined && rollout.endedAt <= rollout.finishBy + ROLLOUT_GRACE_MS
  report.addResult(rollout?.outcome === expected.outcome && isOnTime, `${service} is ${expected.outcome} on time`, figures)
}

async function runRollouts (mesh: EmulatedMesh, report: DemoReport, load: RunningLoad): Promise<void> {
  const finishBy = new Date(Date.now() + ROLLOUT_DURATION_MS)
  const rollouts = Object.fromEntries(Object.entries(ROLLOUT_TARGETS).map(([service, { to }]) =>
    [service, formatWrobelIntent(service, { to, finishBy })]))
  const mark = load.records.length
  const countBad = (): number => mesh.hosts.filter(({ version }) => version === 'v2-bad')
    .reduce((sum, { backendServer }) => sum + backendServer.record.runs.length, 0)
  const countRepairs = (): number => mesh.listRuns().filter(({ url }) => url.startsWith('/repairs')).length
  const [badBefore, repairsBefore] = [countBad(), countRepairs()]
  report.addResult(badBefore === 0, 'the new version gets nothing before its rollout', `${badBefore} requests`)
  await publishAndMeasure(mesh, { ...wrobelSmall.intents, ...rollouts }, STARTUP_LIMIT_MS)
  const limit = ROLLOUT_DURATION_MS + ROLLOUT_GRACE_MS
  await Promise.all(Object.keys(ROLLOUT_TARGETS).map((service) => watchRollout(mesh, report, service, limit)))
  const [bad, repairs] = [countBad() - badBefore, countRepairs() - repairsBefore]
  report.addResult(bad > 0 && bad <= repairs * MAX_BAD_VERSION_SHARE, 'the bad version gets a small share, and some traffic to judge it',
    `${bad} of ${repairs} requests of repairs during the rollout`)
  const end = countBad()
  await awaitTime(ROLLBACK_OBSERVATION_MS)
  report.addResult(countBad() === end, 'the bad version gets nothing after it', `${countBad() - end} requests in ${ROLLBACK_OBSERVATION_MS} ms`)
  const during = load.records.slice(mark)
  const failed = during.filter(({ status }) => status >= 500).length
  report.addResult(failed <= during.length * MAX_FAILED_SHARE, 'most callers are served meanwhile',
    `${failed} of ${during.length} answers failed`)
  const history = await mesh.runCommand('history', '--json')
  report.addResult(history.code === 0 && isJson(history.output), 'the history can be read', describeOutput(history))
}

async function checkRequests (
  mesh: EmulatedMesh, report: DemoReport, load: RunningLoad, print: (line: string) => void
): Promise<void> {
  const records = await load.stop()
  const summary = createSummary(records)
  print(formatSummary(summary))
  for (const { kind, sent, whole } of summary.kinds) {
    report.addResult(whole > 0, `requests of kind ${kind} are answered`, `${whole} whole answers of ${sent} attempts`)
  }
  const keyed = mesh.listRuns().filter(({ key }) => key !== undefined).length
  report.addResult(keyed > 0, 'orders run under a key', `${keyed} runs with a key`)
  const refusals = records.filter(({ outcome }) => outcome === 'not-run').length
  report.addResult(refusals > 0, 'callers without a key are told not-run', `${refusals} refusals`)
  const violations = checkRecords(records, mesh.listRuns())
  for (const [kind, guarantee] of [
    ['key-ran-twice', 'no order ran twice'], ['false-not-run', 'each not-run is true'],
    ['ran-without-run', 'each answer comes from a run'], ['crossed-answer', 'no answer of another request'],
    ['truncated-accepted', 'no truncated answer taken as whole'], ['upload-differs', 'uploads arrive whole']
  ] as const) {
    const found = violations.filter((violation) => violation.kind === kind)
    report.addResult(found.length === 0, guarantee, `${found.length} violations${found[0] === undefined ? '' : `, first: ${found[0].detail}`}`)
  }
}

/** Reads the status with the command line: it must list every host at the accepted version, and both outcomes. */
async function readStatus (mesh: EmulatedMesh, report: DemoReport): Promise<void> {
  const { code, output } = await mesh.runCommand('status', '--json')
  const parsed = isJson(output) ? meshStatusSchema.safeParse(JSON.parse(output)) : undefined
  if (parsed?.success !== true) {
    report.addResult(false, 'the status can be read', `${describeOutput({ code, output })}, ${parsed?.error.message ?? ''}`)
    return
  }
  const { accepted, storeReachable, dataCentres, lagging, rollouts } = parsed.data
  const hosts = dataCentres.flatMap((dataCentre) => dataCentre.hosts)
  const outcomes = rollouts.map(({ service, outcome }) => `${service} ${outcome}`)
  const isComplete = storeReachable && lagging.length === 0 && mesh.hosts.every(({ host }) =>
    hosts.some((entry) => entry.host === host && entry.version === accepted && entry.state === 'serving'))
  const hasOutcomes = Object.entries(ROLLOUT_TARGETS).every(([service, { outcome }]) =>
    outcomes.includes(`${service} ${outcome}`))
  report.addResult(code === 0 && isComplete && hasOutcomes, 'the status can be read',
    `${hosts.length} hosts at version ${accepted}, ${lagging.length} lagging, ${outcomes.join(', ')}`)
}

/** Runs the demo and prints its report; resolves with whether every check passed. */
export async function runDemo (print: (line: string) => void): Promise<boolean> {
  const report = createDemoReport(print)
  const begin = performance.now()
  const mesh = await startMesh(buildPlans(), { seed: SEED, backendMode: 'process' })
  try {
    await report.runPhase('publish of intent', () => runPublish(mesh, report))
    const load = startDemoLoad(mesh)
    await report.runPhase('data centre taken out and back', () => runDrain(mesh, report, 'tarnow'))
    await report.runPhase('one good and one bad rollout', () => runRollouts(mesh, report, load))
    await report.runPhase('status of the mesh', () => readStatus(mesh, report))
    await report.runPhase('requests', () => checkRequests(mesh, report, load, print))
  } finally {
    await mesh.stop()
  }
  print(`${report.hasPassed() ? 'every promise shown held' : 'at least one promise shown FAILED'}, ` +
    `${((performance.now() - begin) / 1000).toFixed(1)} s`)
  return report.hasPassed()
}
