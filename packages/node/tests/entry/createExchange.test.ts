import { expect } from 'chai'
import { toMilliseconds, type MeshRoute, type Milliseconds } from '@snipenotch/contracts'
import { createLoadBalancer } from '@snipenotch/decisions'
import { createExchange, type ExchangeRequest, type ExchangeResult } from '../../src/entry/createExchange.js'
import type { BackendJob, JobOutcome } from '../../src/home/BackendJob.js'
import { createRecord } from '../createJob.js'
import { createTestContext } from '../createTestContext.js'

const ROUTE: MeshRoute = {
  name: 'r-parts',
  host: 'a.example',
  prefix: '/',
  idempotent: true,
  timeoutMs: 1500,
  targetLatencyMs: 200,
  maxAttempts: 2,
  priority: 1,
  isPublic: false,
  parts: [{ service: 'parts', weight: 1 }]
}

/** Creates a request that starts now. */
function createRequest (now: Milliseconds): ExchangeRequest {
  return {
    route: ROUTE,
    service: 'parts',
    attemptId: 'id',
    method: 'GET',
    target: '/',
    headers: [],
    body: Buffer.alloc(0),
    targetAt: toMilliseconds(now + 200),
    deadlineAt: toMilliseconds(now + 1500)
  }
}

describe('createExchange', () => {
  const failed: JobOutcome = { kind: 'answered', status: 500, headers: [], body: Buffer.from('broken'), notRun: false }
  const lost: JobOutcome = { kind: 'lost', reason: 'connection-lost' }
  const notRun: JobOutcome = { ...failed, status: 503, notRun: true }
  const busy: JobOutcome = { kind: 'refused', reason: 'busy', waitMs: 50 }
  const cases = [
    { title: 'the response of a failed run', outcomes: [failed, busy], expected: { outcome: failed, host: 'krakow-1', tries: 1 } },
    { title: 'a loss', outcomes: [lost, busy], expected: { outcome: lost, host: 'krakow-1', tries: 1 } },
    { title: 'the failed response that precedes one of an overloaded server', outcomes: [failed, notRun], expected: { outcome: failed, host: 'krakow-1', tries: 2 } },
    { title: 'a refusal if nothing has run', outcomes: [notRun, busy], expected: { outcome: busy, host: undefined, tries: 1 } }
  ]
  for (const { title, outcomes, expected } of cases) {
    it(`returns ${title} when another host does not run the request (guards against a false "not run")`, () => {
      const context = createTestContext({ host: 'tarnow-1' })
      const hosts = ['krakow-1', 'krakow-2'].map((host) =>
        ({ record: createRecord(host), host, slots: 8, distanceMs: host === 'krakow-1' ? 0 : 50 }))
      const left = [...outcomes]
      const results: ExchangeResult[] = []
      const start = createExchange({
        rolloutTraffic: { record: () => undefined },
        onEvidence: () => undefined,
        context,
        loadBalancer: createLoadBalancer(() => 0.5),
        dispatcher: {} as never,
        client: { send: (_job, _record, onOutcome) => { onOutcome(left.shift() ?? busy) }, close: () => undefined },
        retryBudgets: { recordFirstAttempt: () => undefined, take: () => true },
        finder: {
          find: (_service, _version, _bytes, tried) => hosts.filter(({ host }) => !tried.has(host)),
          count: () => hosts.length,
          drawVersion: () => undefined,
          getRetryVersion: () => undefined
        }
      })
      start(createRequest(context.clock.now()), (result) => { results.push(result) })
      expect(results).to.deep.equal([expected])
    })
  }

  it('ends a request whose sending throws, after a retry that is allowed (guards against requests that are never answered)', () => {
    const defect = (): never => { throw new Error('defect') }
    const { result, jobs } = sendOnce([defect, failed], 2)
    expect([result, jobs.length]).to.deep.equal([{ outcome: failed, host: 'krakow-2', tries: 2 }, 2])
    expect(sendOnce([defect], 1).result?.outcome).to.deep.equal({ kind: 'lost', reason: 'internal-error' })
  })

  interface SendResult {
    readonly result: ExchangeResult | undefined
    /** Requests as sent to hosts. */
    readonly jobs: readonly BackendJob[]
    /** Versions whose hosts were preferred for them. */
    readonly versions: ReadonlyArray<string | undefined>
  }

  /** Sends a request of a route that allows `maxAttempts` to hosts that respond with `outcomes`. */
  function sendOnce (outcomes: ReadonlyArray<JobOutcome | (() => JobOutcome)>, maxAttempts = 5): SendResult {
    const context = createTestContext({ host: 'tarnow-1' })
    const hosts = [1, 2, 3, 4, 5].map((number) =>
      ({ record: createRecord(`krakow-${number}`), host: `krakow-${number}`, slots: 8, distanceMs: 0 }))
    const results: ExchangeResult[] = []
    const jobs: BackendJob[] = []
    const versions: Array<string | undefined> = []
    let wanted: string | undefined
    const start = createExchange({
      rolloutTraffic: { record: () => undefined },
      onEvidence: () => undefined,
      context,
      loadBalancer: createLoadBalancer(() => 0.5),
      dispatcher: {} as never,
      client: {
        send: (job, _record, onOutcome) => {
          jobs.push(job)
          versions.push(wanted)
          const outcome = outcomes[jobs.length - 1] ?? busy
          onOutcome(typeof outcome === 'function' ? outcome() : outcome)
        },
        close: () => undefined
      },
      retryBudgets: { recordFirstAttempt: () => undefined, take: () => true },
      finder: {
        find: (_service, version, _bytes, tried) => {
          wanted = version
          return hosts.filter(({ host }) => !tried.has(host))
        },
        count: () => hosts.length,
        drawVersion: () => 'v2',
        getRetryVersion: () => 'v1'
      }
    })
    const request = { ...createRequest(context.clock.now()), route: { ...ROUTE, maxAttempts } }
    start(request, (result) => { results.push(result) })
    return { result: results[0], jobs, versions }
  }

  it('sends a request to no more servers than its route allows (guards against attempts that multiply under failures)', () => {
    for (const maxAttempts of [1, 2, 3]) {
      expect(sendOnce([failed, notRun, failed, failed, failed], maxAttempts).jobs.length).to.equal(maxAttempts)
    }
  })

  it('keeps the deadline and the attempt id of a request that is sent again (guards against time that starts anew)', () => {
    const { jobs: [first, second] } = sendOnce([failed, failed], 2)
    expect([second?.deadlineAt, second?.targetAt, second?.attemptId])
      .to.deep.equal([first?.deadlineAt, first?.targetAt, first?.attemptId])
  })

  it('does not send a request a third time after two lost runs (guards against one attempt that crashes all servers)', () => {
    expect(sendOnce([lost, lost, failed]).jobs.length).to.equal(2)
    expect(sendOnce([lost, failed, failed]).jobs.length).to.equal(5)
  })

  it('asks no other host after the refusal of a request that crashes servers, and passes on how long it lasts', () => {
    const refusal: JobOutcome = { kind: 'refused', reason: 'crash-suspect', waitMs: 40_000 }
    const { result, jobs } = sendOnce([refusal])
    expect([result, jobs.length]).to.deep.equal([{ outcome: refusal, host: undefined, tries: 0 }, 1])
  })

  it('asks no other host after the refusal of a malformed request (guards against refusals that multiply)', () => {
    const refusal: JobOutcome = { kind: 'refused', reason: 'malformed', waitMs: 0 }
    expect(sendOnce([refusal]).jobs.length).to.equal(1)
  })

  it('sends a request that a new version failed to the old one (guards against repeated attempts at a bad version)', () => {
    expect(sendOnce([failed, failed]).versions.slice(0, 2)).to.deep.equal(['v2', 'v1'])
  })

  it('releases the load of its own host when a caller disconnects (guards against a host that appears overloaded forever)', () => {
    const context = createTestContext({ host: 'krakow-1' })
    const record = createRecord('krakow-1')
    const loadBalancer = createLoadBalancer(() => 0.5)
    const jobs: BackendJob[] = []
    const start = createExchange({
      rolloutTraffic: { record: () => undefined },
      onEvidence: () => undefined,
      context,
      loadBalancer,
      dispatcher: {
        run: (job: BackendJob) => {
          jobs.push(job)
          job.cancel = () => true
        },
        getLoad: () => ({ load: 0, slots: 8, serviceMs: 50, failureShare: 0, fetchMs: 0 })
      } as never,
      client: { send: () => undefined, close: () => undefined },
      retryBudgets: { recordFirstAttempt: () => undefined, take: () => true },
      finder: {
        find: () => [{ record, host: record.host, slots: 8, distanceMs: 0 }],
        count: () => 1,
        drawVersion: () => undefined,
        getRetryVersion: () => undefined
      }
    })
    const own = { host: record.host, slots: 8, distanceMs: 0 }
    const asked = { targetLatencyMs: 200, hasLargeBody: false }
    const computeCost = (): number => loadBalancer.computeCost(own, asked, context.clock.now())
    const request = createRequest(context.clock.now())
    for (let index = 0; index < 30; index++) {
      const exchange = start(request, () => undefined)
      // The dispatcher replaces `cancel` when a queued job starts.
      const job = jobs.at(-1)
      if (job !== undefined) job.cancel = () => false
      expect(exchange.cancel()).to.equal(false)
    }
    expect(computeCost()).to.be.lessThan(100)
  })
})
