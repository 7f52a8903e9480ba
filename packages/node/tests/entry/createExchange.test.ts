import { expect } from 'chai'
import { toMilliseconds, type MeshRoute } from '@snipenotch/contracts'
import { createPlacement } from '@snipenotch/decisions'
import { createExchange } from '../../src/entry/createExchange.js'
import type { HomeJob } from '../../src/home/HomeJob.js'
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
  parts: [{ service: 'parts', weight: 1 }]
}

describe('createExchange', () => {
  it('gives the load of the own host back when a caller leaves (guards against a host that seems full for ever)', () => {
    const context = createTestContext({ host: 'krakow-1' })
    const record = createRecord('krakow-1')
    const placement = createPlacement(() => 0.5)
    const jobs: HomeJob[] = []
    const start = createExchange({
      context,
      placement,
      home: {
        run: (job: HomeJob) => {
          jobs.push(job)
          job.cancel = () => true
        },
        getLoad: () => ({ load: 0, slots: 8, serviceMs: 50, failureShare: 0, fetchMs: 0 })
      } as never,
      client: { send: () => undefined, close: () => undefined },
      budgets: { recordFirst: () => undefined, take: () => true },
      finder: {
        find: () => [{ record, host: record.host, slots: 8, distanceMs: 0 }],
        count: () => 1,
        drawVersion: () => undefined
      }
    })
    const own = { host: record.host, slots: 8, distanceMs: 0 }
    const asked = { targetLatencyMs: 200, hasLargeBody: false }
    const computeCost = (): number => placement.computeCost(own, asked, context.clock.now())
    const now = context.clock.now()
    const request = {
      route: ROUTE,
      service: 'parts',
      attemptId: 'id',
      method: 'GET',
      target: '/',
      headers: [],
      body: Buffer.alloc(0),
      targetAt: toMilliseconds(now + 200),
      endAt: toMilliseconds(now + 1500)
    }
    for (let index = 0; index < 30; index++) {
      const exchange = start(request, () => undefined)
      // The gate replaces the cancellation when a request that waited starts.
      const job = jobs.at(-1)
      if (job !== undefined) job.cancel = () => false
      expect(exchange.cancel()).to.equal(false)
    }
    expect(computeCost()).to.be.lessThan(100)
  })
})
