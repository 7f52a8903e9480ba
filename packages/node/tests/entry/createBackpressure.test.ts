import { toMilliseconds, type MeshRoute } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createBackpressure } from '../../src/entry/createBackpressure.js'
import type { ExchangeRequest, ExchangeResult } from '../../src/entry/createExchange.js'
import type { JobOutcome } from '../../src/home/BackendJob.js'
import { createTestContext } from '../createTestContext.js'

const LOAD = { load: 0, slots: 4, serviceMs: 20, failureShare: 0, fetchMs: 0 }
const SERVED: JobOutcome = { kind: 'answered', status: 200, headers: [], body: Buffer.alloc(0), notRun: false, load: LOAD }
const BUSY: JobOutcome = { kind: 'refused', reason: 'busy', waitMs: 40, load: LOAD }

const createRequest = (name: string): ExchangeRequest => ({
  route: { name } as MeshRoute,
  service: 'orders',
  attemptId: 'id',
  method: 'GET',
  target: '/',
  headers: [],
  body: Buffer.alloc(0),
  targetAt: toMilliseconds(200),
  deadlineAt: toMilliseconds(1e9)
})

describe('createBackpressure', () => {
  /** Sends calls on the route 'call' during runs of the route 'lookup'; `outcome` is that of every call. */
  function runCalls (outcome: JobOutcome, isInternal: boolean): ReturnType<typeof createBackpressure> {
    const context = createTestContext()
    const backpressure = createBackpressure(context)
    const start = backpressure.attach((request, onResult) => {
      const result = { ...outcome, isInternal }
      backpressure.recordOutcome(request.route.name, 'krakow-2', result)
      onResult({ outcome: result, host: 'krakow-2', tries: 1 })
      return { cancel: () => true, getHost: () => undefined }
    })
    for (let run = 0; run < 40; run++) {
      const endRun = backpressure.calls.startRun('lookup')
      start(createRequest('call'), () => undefined)
      endRun()
    }
    backpressure.stop()
    context.ticker.close()
    return backpressure
  }

  it('lowers the share of a route whose calls are refused, and of no other (guards against runs wasted by refused calls)', () => {
    const { calls } = runCalls(BUSY, true)
    expect(calls.getAdmittedShare('lookup')).to.be.at.most(0.3)
    expect(calls.getAdmittedShare('other')).to.equal(1)
  })

  it('lowers no share for refused requests of callers, or while calls are served (guards against refusals without a shortage)', () => {
    expect(runCalls(BUSY, false).calls.getAdmittedShare('lookup')).to.equal(1)
    expect(runCalls(SERVED, true).calls.getAdmittedShare('lookup')).to.equal(1)
  })

  it('refuses at the entry node what a host does not accept, and nothing without reports (guards against work for failing runs and against refusals in a mixed mesh)', () => {
    const context = createTestContext()
    const backpressure = createBackpressure(context)
    const results: ExchangeResult[] = []
    let started = 0
    const start = backpressure.attach((_, onResult) => {
      started += 1
      onResult({ outcome: SERVED, host: 'krakow-2', tries: 1 })
      return { cancel: () => true, getHost: () => undefined }
    })
    const sendAll = (): void => {
      for (let request = 0; request < 20; request++) start(createRequest('lookup'), (result) => { results.push(result) })
    }
    backpressure.recordOutcome('lookup', 'krakow-2', SERVED)
    sendAll()
    expect(started).to.equal(20)
    backpressure.recordOutcome('lookup', 'krakow-2', { ...SERVED, load: { ...LOAD, admittedShare: 0.5 } })
    sendAll()
    expect(started).to.be.within(29, 32)
    const refused = results.map(({ outcome }) => outcome).filter((outcome) => outcome.kind === 'refused')
    expect(refused).to.have.length(40 - started)
    for (const outcome of refused) expect(outcome).to.include({ reason: 'busy' }).and.have.property('waitMs').greaterThan(0)
    expect(context.counters.read('backpressure', 'refused')).to.equal(refused.length)
    expect(backpressure.formatMetrics()).to.match(/^snipenotch_admitted_share\{route="lookup"\} 0\.5\d\n$/)
    backpressure.stop()
    context.ticker.close()
  })
})
