import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createBodyFetchScheduler, type OfferedBody } from '../../src/serving/createBodyFetchScheduler.js'

const LINK_MBPS = 12
const BYTES_PER_MS = LINK_MBPS * 125

const offer = (bytes: number, targetAt: number, deadlineAt = targetAt + 4000): OfferedBody =>
  ({ bytes, targetAt: toMilliseconds(targetAt), deadlineAt: toMilliseconds(deadlineAt) })

interface Replay {
  /** Time at which each body had arrived completely, in milliseconds; missing if it expired. */
  readonly wholeAt: Map<OfferedBody, number>
  /** Maximum number of bytes in flight, which delay a small request. */
  readonly mostOnTheWay: number
}

interface ReplayOptions {
  readonly linkMbps?: number
  /** Time from a grant until its bytes reach the link, in milliseconds: one way and two busy processes. */
  readonly reactionMs?: number
}

/** Simulates bodies that are offered at `at`, over a link that transfers the granted bytes in order. */
function replay (
  arrivals: ReadonlyArray<{ readonly at: number, readonly body: OfferedBody }>,
  { linkMbps = LINK_MBPS, reactionMs = 0 }: ReplayOptions = {}
): Replay {
  const scheduler = createBodyFetchScheduler<OfferedBody>(linkMbps)
  const link: Array<{ body: OfferedBody, bytes: number, readonly from: number }> = []
  const wholeAt = new Map<OfferedBody, number>()
  let mostOnTheWay = 0
  for (let now = 0; now < 8000; now++) {
    const time = toMilliseconds(now)
    for (const { body } of arrivals.filter(({ at }) => at === now)) scheduler.add(body)
    let room = linkMbps * 125
    for (let next = link[0]; room > 0 && next !== undefined && next.from <= now; next = link[0]) {
      const bytes = Math.min(room, next.bytes)
      room -= bytes
      next.bytes -= bytes
      if (scheduler.recordArrival(next.body, bytes, time) === 'whole') wholeAt.set(next.body, now)
      if (next.bytes === 0) link.shift()
    }
    scheduler.takeExpired(time)
    for (const { body, bytes } of scheduler.takeGrants(time)) link.push({ body, bytes, from: now + reactionMs })
    mostOnTheWay = Math.max(mostOnTheWay, link.reduce((sum, { bytes }) => sum + bytes, 0))
  }
  return { wholeAt, mostOnTheWay }
}

describe('createBodyFetchScheduler', () => {
  it('limits the bytes in flight during many uploads and still uses the full bandwidth (guards against small requests queued behind bodies)', () => {
    const arrivals = Array.from({ length: 20 }, (_, index) => ({ at: 1, body: offer(60_000, 600 + index) }))
    const { wholeAt, mostOnTheWay } = replay(arrivals)
    // Half of a small request's target. Without a window, 1.2 MB would be in flight: 800 ms for a target of 250 ms.
    expect(mostOnTheWay).to.be.at.most(BYTES_PER_MS * 107 / 2)
    const lastAt = Math.max(...wholeAt.values())
    expect(wholeAt.size).to.equal(20)
    expect(lastAt).to.be.at.most(20 * 60_000 / BYTES_PER_MS * 1.1)
  })

  it('fetches bodies one after another by earliest target (guards against uploads that are all late)', () => {
    const arrivals = Array.from({ length: 16 }, (_, index) => ({ at: 1, body: offer(60_000, 600 + index) }))
    const { wholeAt } = replay(arrivals)
    // Fetched in parallel, all would complete at 640 ms, after their targets.
    const inTime = arrivals.filter(({ body }) => (wholeAt.get(body) ?? Infinity) <= 600)
    expect(inTime.length).to.be.at.least(13)
    expect([...wholeAt.keys()]).to.deep.equal(arrivals.map(({ body }) => body))
  })

  it('uses the full bandwidth when senders react slowly (guards against an idle link while uploads wait)', () => {
    const arrivals = Array.from({ length: 10 }, (_, index) => ({ at: 1, body: offer(280_000, 1200 + index) }))
    const { wholeAt } = replay(arrivals, { linkMbps: 22, reactionMs: 20 })
    expect(Math.max(...wholeAt.values())).to.be.at.most(10 * 280_000 / (22 * 125) * 1.1)
  })

  it('grants integer byte counts at any bandwidth (guards against a grant that the other host cannot decode)', () => {
    for (const linkMbps of [0, 8.4, 22 * 0.7, 140, 1000]) {
      const scheduler = createBodyFetchScheduler<OfferedBody>(linkMbps)
      scheduler.add(offer(1_700_000, 5000))
      for (const { bytes } of scheduler.takeGrants(toMilliseconds(0))) expect(bytes % 1, `${linkMbps} Mbit/s`).to.equal(0)
    }
  })

  it('continues with other bodies while hosts are stalled (guards against a paused host that blocks all uploads)', () => {
    const scheduler = createBodyFetchScheduler<OfferedBody>(LINK_MBPS)
    const silent = [offer(360_000, 2000, 4000), offer(360_000, 2001, 4000)]
    for (const body of silent) scheduler.add(body)
    expect(scheduler.takeGrants(toMilliseconds(0)).map(({ body }) => body)).to.deep.equal(silent)
    const others = Array.from({ length: 5 }, (_, index) => offer(60_000, 3000 + index, 6000))
    for (const body of others) scheduler.add(body)
    const wholeAt: number[] = []
    for (let now = 1; now < 1000; now++) {
      for (const { body, bytes } of scheduler.takeGrants(toMilliseconds(now))) {
        if (silent.includes(body)) throw new Error('granted bytes of a stalled body again')
        if (scheduler.recordArrival(body, bytes, toMilliseconds(now)) === 'whole') wholeAt.push(now)
      }
    }
    expect(wholeAt).to.have.length(5)
    expect(scheduler.recordArrival(silent[0] as OfferedBody, 16_384, toMilliseconds(1000))).to.equal('part')
    expect(scheduler.takeGrants(toMilliseconds(1000)).map(({ body }) => body)).to.deep.equal([silent[0]])
  })

  it('limits the share of the window of one body (guards against one slow link that delays all other uploads)', () => {
    const scheduler = createBodyFetchScheduler<OfferedBody>(LINK_MBPS)
    const [slow, other] = [offer(360_000, 2000), offer(60_000, 3000)]
    for (const body of [slow, other]) scheduler.add(body)
    const grants = scheduler.takeGrants(toMilliseconds(0))
    expect(grants).to.deep.equal([{ body: slow, bytes: 22_500 }, { body: other, bytes: 22_500 }])
  })

  it('expires a body that can no longer arrive completely before its deadline', () => {
    const scheduler = createBodyFetchScheduler<OfferedBody>(LINK_MBPS)
    const body = offer(60_000, 500, 1000)
    scheduler.add(body)
    expect(scheduler.takeExpired(toMilliseconds(959))).to.deep.equal([])
    expect(scheduler.takeExpired(toMilliseconds(960))).to.deep.equal([body])
    expect(scheduler.recordArrival(body, 10, toMilliseconds(961))).to.equal(undefined)
  })

  it('never grants more than the size of a body and rejects bytes that were not granted', () => {
    const sizes = fc.array(fc.integer({ min: 1, max: 200_000 }), { minLength: 1, maxLength: 12 })
    fc.assert(fc.property(sizes, (list) => {
      const { wholeAt } = replay(list.map((bytes, index) => ({ at: index, body: offer(bytes, 4000, 9000) })))
      expect(wholeAt.size).to.equal(list.length)
    }), { numRuns: 10 })
    const scheduler = createBodyFetchScheduler<OfferedBody>(LINK_MBPS)
    const body = offer(100, 500)
    scheduler.add(body)
    expect(scheduler.recordArrival(body, 1, toMilliseconds(1))).to.equal(undefined)
    expect(scheduler.takeGrants(toMilliseconds(1))).to.deep.equal([{ body, bytes: 100 }])
    expect(scheduler.recordArrival(body, 101, toMilliseconds(2))).to.equal(undefined)
    expect(scheduler.recordArrival(body, 100, toMilliseconds(2))).to.equal('whole')
    expect(scheduler.count()).to.equal(0)
  })
})
