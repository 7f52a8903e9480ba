import { type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createRequestQueue, type QueueJob, type QueueLimits } from '../../src/serving/createRequestQueue.js'
import { MAX_SEND_DELAY_MS } from '../../src/serving/createColdPacer.js'

const OPEN: QueueLimits = { slots: 3, cold: undefined, closedReason: undefined, isStartAllowed: true }

interface NamedJob extends QueueJob { readonly name: string }

const job = (name: string, now: number, given: Partial<QueueJob> = {}): NamedJob => ({
  name,
  route: 'r',
  priority: 1,
  isInternal: false,
  isBodyFetched: false,
  targetLatencyMs: 200,
  targetAt: toMilliseconds(now + 200),
  deadlineAt: toMilliseconds(now + 1000),
  ...given
})

describe('createRequestQueue', () => {
  it('never exceeds the slots, and starts, expires or refuses every request (guards against a server that stalls under overload)', () => {
    const arrival = fc.record({ at: fc.integer({ min: 0, max: 2000 }), work: fc.integer({ min: 1, max: 400 }) })
    const arrivals = fc.array(arrival, { maxLength: 120 })
    fc.assert(fc.property(arrivals, (found) => {
      const queue = createRequestQueue<NamedJob>()
      const ends: Array<{ at: number, job: NamedJob, work: number }> = []
      const sorted = [...found].sort((left, right) => left.at - right.at)
      let ended = 0
      let next = 0
      const begin = (started: NamedJob, now: number): void => {
        const work = sorted[Number(started.name)]?.work ?? 1
        ends.push({ at: now + work, job: started, work })
      }
      for (let now = 0; now <= 4000; now++) {
        const time = toMilliseconds(now)
        for (const over of ends.filter(({ at }) => at === now)) {
          queue.finish(over.job, over.work)
          ended += 1
        }
        for (let index = ends.length - 1; index >= 0; index--) if ((ends[index]?.at ?? 0) <= now) ends.splice(index, 1)
        ended += queue.takeExpired(time).length
        for (const ready of queue.takeReady(OPEN, time)) begin(ready, now)
        while (next < sorted.length && sorted[next]?.at === now) {
          const arriving = job(String(next), now)
          const decision = queue.submit(arriving, OPEN, time)
          if (decision.kind === 'start') begin(arriving, now)
          if (decision.kind === 'refuse') ended += 1
          next += 1
        }
        expect(ends.length).to.be.at.most(OPEN.slots)
        expect(queue.countRunning()).to.equal(ends.length)
      }
      expect(ended).to.equal(sorted.length)
    }), { numRuns: 20 })
  })

  it('lets a request with a fetched body wait until its deadline (guards against uploads that are transferred repeatedly)', () => {
    const queue = createRequestQueue<NamedJob>()
    for (const name of ['a', 'b', 'c']) queue.submit(job(name, 0), OPEN, toMilliseconds(0))
    const late = { targetAt: toMilliseconds(0) }
    expect(queue.submit(job('small', 1, late), OPEN, toMilliseconds(1)).kind).to.equal('refuse')
    expect(queue.submit(job('upload', 1, { ...late, isBodyFetched: true }), OPEN, toMilliseconds(1)).kind).to.equal('wait')
  })

  it('reports a longer service time for a stalled server before any request ends (guards against a stalled server that gets a full share)', () => {
    const queue = createRequestQueue<NamedJob>()
    const first = job('first', 0)
    queue.submit(first, OPEN, toMilliseconds(0))
    queue.finish(first, 40)
    for (const name of ['a', 'b', 'c']) queue.submit(job(name, 100, { deadlineAt: toMilliseconds(5000) }), OPEN, toMilliseconds(100))
    expect(queue.getLoad(OPEN, toMilliseconds(120)).serviceMs).to.equal(40)
    expect(queue.getLoad(OPEN, toMilliseconds(900)).serviceMs).to.equal(800)
    expect(queue.submit(job('next', 900), OPEN, toMilliseconds(900)).kind).to.equal('refuse')
  })

  it('does not count a long request among short ones as a stall (guards against a host avoided because of a single upload)', () => {
    const queue = createRequestQueue<NamedJob>()
    const upload = { route: 'upload', targetLatencyMs: 600 }
    for (let index = 0; index < 20; index++) {
      const short = job('short', 0)
      queue.submit(short, OPEN, toMilliseconds(0))
      queue.finish(short, 18)
    }
    const average = queue.getLoad(OPEN, toMilliseconds(0)).serviceMs
    queue.submit(job('long', 0, { ...upload, deadlineAt: toMilliseconds(5000) }), OPEN, toMilliseconds(0))
    expect(queue.getLoad(OPEN, toMilliseconds(300)).serviceMs).to.equal(average)
  })

  it('keeps the rate limit of a cold server on arrival despite delays (guards against two bursts within one second when a server returns)', () => {
    const bound = 63
    const cold: QueueLimits = { ...OPEN, slots: 12, cold: { perSecond: bound, since: toMilliseconds(0) } }
    const holdUps = fc.array(fc.integer({ min: 0, max: MAX_SEND_DELAY_MS }), { minLength: 50, maxLength: 50 })
    fc.assert(fc.property(holdUps, (found) => {
      const queue = createRequestQueue<NamedJob>()
      const arrivals: number[] = []
      const ends: Array<{ at: number, job: NamedJob }> = []
      // Requests arrive in the order of sending: a delayed one delays those behind it.
      const begin = (started: NamedJob, now: number): void => {
        const heldUp = now + (found[arrivals.length % found.length] ?? 0)
        arrivals.push(Math.max(heldUp, arrivals.at(-1) ?? 0))
        ends.push({ at: now + 40, job: started })
      }
      for (let now = 0; now < 5000; now++) {
        const time = toMilliseconds(now)
        while ((ends[0]?.at ?? Infinity) <= now) queue.finish(ends.shift()?.job as NamedJob, 40)
        queue.takeExpired(time)
        for (const ready of queue.takeReady(cold, time)) begin(ready, now)
        if (now % 3 !== 0) continue
        const arriving = job(String(now), now)
        if (queue.submit(arriving, cold, time).kind === 'start') begin(arriving, now)
      }
      const most = Math.max(...arrivals.map((from) => arrivals.filter((at) => at >= from && at < from + 1000).length))
      expect(most).to.be.at.most(bound)
      // The nominal capacity of the server is 42 requests per second.
      expect(arrivals.length).to.be.at.least(42 * 5)
    }), { numRuns: 50 })
  })

  function fillSlots (queue: ReturnType<typeof createRequestQueue<NamedJob>>): NamedJob[] {
    const running = ['x', 'y', 'z'].map((name) => job(name, 0))
    for (const started of running) expect(queue.submit(started, OPEN, toMilliseconds(0)).kind).to.equal('start')
    return running
  }

  it('starts requests by priority, then those that can still meet their target (guards against a burst that makes all late)', () => {
    const queue = createRequestQueue<NamedJob>()
    const running = fillSlots(queue)
    const now = toMilliseconds(100)
    const late = job('late', 100, { targetAt: toMilliseconds(270), priority: 1 })
    const low = job('low', 100, { priority: 2, targetAt: toMilliseconds(420) })
    const high = job('high', 100, { priority: 1, targetAt: toMilliseconds(400) })
    for (const waiting of [late, low, high]) expect(queue.submit(waiting, OPEN, now).kind).to.equal('wait')
    for (const over of running) queue.finish(over, 50)
    const later = toMilliseconds(240)
    expect(queue.takeReady(OPEN, later).map(({ name }) => name)).to.deep.equal(['high', 'late', 'low'])
  })

  it('does not queue a request that is already late (guards against retries that run before requests in time)', () => {
    const queue = createRequestQueue<NamedJob>()
    const running = fillSlots(queue)
    const returned = job('returned', 100, { targetAt: toMilliseconds(110) })
    expect(queue.submit(returned, OPEN, toMilliseconds(100))).to.include({ kind: 'refuse', reason: 'busy' })
    queue.finish(running[0]!, 50)
    expect(queue.submit(returned, OPEN, toMilliseconds(100)).kind).to.equal('start')
  })

  it('lets internal calls wait until their deadline and starts them first among those of their priority (guards against work wasted by a refused call)', () => {
    const queue = createRequestQueue<NamedJob>()
    const running = fillSlots(queue)
    const now = toMilliseconds(0)
    const outer = { targetAt: toMilliseconds(400), targetLatencyMs: 100 }
    const inner = {
      isInternal: true, targetAt: toMilliseconds(20), deadlineAt: toMilliseconds(400), targetLatencyMs: 50
    }
    expect(queue.submit(job('outer', 0, outer), OPEN, now).kind).to.equal('wait')
    expect(queue.submit(job('inner', 0, inner), OPEN, now).kind).to.equal('wait')
    expect(queue.submit(job('short', 0, { ...inner, isInternal: false }), OPEN, now).kind).to.equal('refuse')
    queue.finish(running[0]!, 50)
    expect(queue.takeReady(OPEN, now).map(({ name }) => name)).to.deep.equal(['inner'])
  })

  it('starts a more urgent request before an internal call, but internal calls that wait get every second start (guards against a class that gets nothing)', () => {
    const queue = createRequestQueue<NamedJob>()
    fillSlots(queue)
    const now = toMilliseconds(0)
    const urgent = {
      priority: 0, targetLatencyMs: 1000, targetAt: toMilliseconds(5000), deadlineAt: toMilliseconds(9000)
    }
    const inner = { isInternal: true, deadlineAt: toMilliseconds(9000) }
    for (const name of ['call-1', 'call-2']) queue.submit(job(name, 0, inner), OPEN, now)
    for (const name of ['a', 'b', 'c']) expect(queue.submit(job(name, 0, urgent), OPEN, now).kind).to.equal('wait')
    const started = queue.takeReady({ ...OPEN, slots: 8 }, now).map(({ name }) => name)
    expect(started).to.deep.equal(['a', 'call-1', 'b', 'call-2', 'c'])
  })

  it('limits the wait of internal calls once a queue stands (guards against requests that hold their slots while their calls wait)', () => {
    const queue = createRequestQueue<NamedJob>()
    const running = fillSlots(queue)
    const inner = (name: string, now: number): NamedJob => job(name, now, {
      isInternal: true, targetLatencyMs: 60, targetAt: toMilliseconds(now + 1000), deadlineAt: toMilliseconds(now + 400)
    })
    for (let now = 0; now <= 100; now += 20) {
      expect(queue.submit(inner(`early-${now}`, now), OPEN, toMilliseconds(now)).kind).to.equal('wait')
    }
    const later = toMilliseconds(350)
    queue.takeExpired(later)
    expect(queue.submit(inner('late', 350), OPEN, later).kind).to.equal('refuse')
    for (const over of running) queue.finish(over, 20)
    while (queue.countWaiting() > 0) for (const started of queue.takeReady(OPEN, later)) queue.finish(started, 20)
    fillSlots(queue)
    expect(queue.submit(inner('next', 360), OPEN, toMilliseconds(360)).kind).to.equal('wait')
  })

  it('does not take a queue for standing whose requests were cancelled meanwhile (guards against calls refused although there is no overload)', () => {
    const queue = createRequestQueue<NamedJob>()
    fillSlots(queue)
    const inner = (name: string, now: number): NamedJob => job(name, now, {
      isInternal: true, targetLatencyMs: 10, targetAt: toMilliseconds(now + 1000), deadlineAt: toMilliseconds(now + 400)
    })
    const left = inner('left', 0)
    queue.submit(left, OPEN, toMilliseconds(0))
    queue.cancel(left)
    for (let count = 0; count < 6; count++) {
      expect(queue.submit(inner(`call-${count}`, 350), OPEN, toMilliseconds(350)).kind).to.equal('wait')
    }
  })

  it('refuses a request at once if it cannot be served in time, with the expected wait (guards against requests held until their deadline)', () => {
    const queue = createRequestQueue<NamedJob>()
    fillSlots(queue)
    const decisions = Array.from({ length: 60 }, (_, index) =>
      queue.submit(job(String(index), 0), OPEN, toMilliseconds(0)))
    const refused = decisions.filter((decision) => decision.kind === 'refuse')
    expect(refused.length).to.be.greaterThan(0)
    for (const decision of refused) expect(decision).to.include({ reason: 'busy' }).and.have.property('waitMs').greaterThan(0)
  })

  it('expires a waiting request early enough to report that it has not run', () => {
    const queue = createRequestQueue<NamedJob>()
    fillSlots(queue)
    queue.submit(job('waiting', 0, { deadlineAt: toMilliseconds(300) }), OPEN, toMilliseconds(0))
    const delay = queue.computeDelay(OPEN, toMilliseconds(0)) ?? 0
    expect(delay).to.be.greaterThan(0).and.lessThan(300)
    expect(queue.takeExpired((delay + 1) as Milliseconds).map(({ name }) => name)).to.deep.equal(['waiting'])
  })

  /** Creates a queue of a server that was measured at 100 ms for the route and at 20 ms for the route 'short'. */
  function createMeasuredQueue (): ReturnType<typeof createRequestQueue<NamedJob>> {
    const queue = createRequestQueue<NamedJob>(undefined, { hasTriage: true })
    for (const [route, durationMs] of [['r', 100], ['short', 20]] as const) {
      const measured = job('measured', 0, { route })
      queue.submit(measured, OPEN, toMilliseconds(0))
      queue.finish(measured, durationMs)
    }
    return queue
  }

  it('starts the request that needs less work first, but not before one that has waited (guards against few callers served with all capacity)', () => {
    const queue = createMeasuredQueue()
    fillSlots(queue)
    const target = (now: number): Partial<QueueJob> =>
      ({ targetLatencyMs: 1000, targetAt: toMilliseconds(now + 1000), deadlineAt: toMilliseconds(now + 2000) })
    expect(queue.submit(job('long', 0, target(0)), OPEN, toMilliseconds(0)).kind).to.equal('wait')
    for (const now of [100, 200]) {
      const short = job(`short-${now}`, now, { route: 'short', ...target(now) })
      expect(queue.submit(short, OPEN, toMilliseconds(now)).kind).to.equal('wait')
    }
    const started = queue.takeReady({ ...OPEN, slots: 6 }, toMilliseconds(200)).map(({ name }) => name)
    expect(started).to.deep.equal(['short-100', 'long', 'short-200'])
  })

  it('starts nothing that cannot end before its deadline at the present speed (guards against runs that end past their deadline)', () => {
    const queue = createMeasuredQueue()
    fillSlots(queue)
    const waiting = job('waiting', 0, { targetLatencyMs: 400, targetAt: toMilliseconds(400), deadlineAt: toMilliseconds(420) })
    expect(queue.submit(waiting, OPEN, toMilliseconds(0)).kind).to.equal('wait')
    expect(queue.takeExpired(toMilliseconds(60))).to.deep.equal([])
    // The running requests take over twice as long as measured; the waiting one would need some 280 ms.
    expect(queue.takeExpired(toMilliseconds(200)).map(({ name }) => name)).to.deep.equal(['waiting'])
  })

  it('refuses what a free slot cannot serve in time, but not for good (guards against work for nothing, and against a route that never runs again)', () => {
    const queue = createMeasuredQueue()
    const near = (remainingMs: number): NamedJob => job('near', 0, { deadlineAt: toMilliseconds(remainingMs) })
    expect(queue.submit(near(60), OPEN, toMilliseconds(0))).to.include({ kind: 'refuse', reason: 'busy' })
    expect(queue.submit(near(80), OPEN, toMilliseconds(0)).kind).to.equal('start')
    const slow = job('slow', 0)
    for (let run = 0; run < 60; run++) queue.finish(slow, 2000)
    expect(queue.submit(job('fresh', 0, { deadlineAt: toMilliseconds(200) }), OPEN, toMilliseconds(0)).kind).to.equal('start')
  })

  it('refuses a request past its deadline even if a slot is free (guards against work for callers that have given up)', () => {
    const queue = createRequestQueue<NamedJob>()
    const late = job('late', 0, { deadlineAt: toMilliseconds(119) })
    expect(queue.submit(late, OPEN, toMilliseconds(100))).to.deep.equal({ kind: 'refuse', reason: 'expired', waitMs: 0 })
    expect(queue.submit(late, OPEN, toMilliseconds(0)).kind).to.equal('start')
    expect(queue.countRunning()).to.equal(1)
  })

  it('refuses with the given reason while closed', () => {
    const queue = createRequestQueue<NamedJob>()
    expect(queue.submit(job('a', 0), { ...OPEN, closedReason: 'evacuated' }, toMilliseconds(0)))
      .to.deep.equal({ kind: 'refuse', reason: 'evacuated', waitMs: 0 })
  })
})
