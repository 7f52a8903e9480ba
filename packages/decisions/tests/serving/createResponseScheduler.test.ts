import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createResponseScheduler, type ScheduledResponse } from '../../src/serving/createResponseScheduler.js'

const LINK_MBPS = 10
const BYTES_PER_MS = LINK_MBPS * 125
const SMALL_BYTES = 800

const respond = (bytes: number, targetAt: number, given: Partial<ScheduledResponse> = {}): ScheduledResponse =>
  ({ bytes, priority: 2, targetAt: toMilliseconds(targetAt), deadlineAt: toMilliseconds(targetAt + 500), ...given })

interface Replay {
  /** Time at which the link had carried each large response, in milliseconds. */
  readonly sentAt: Map<ScheduledResponse, number>
  /** Longest time that a small response spent in the queue of the link, in milliseconds. */
  readonly longestSmallMs: number
}

/** Simulates large responses that are ready at `at` beside a small one every 5 ms, over a link that sends in order. */
function replay (arrivals: ReadonlyArray<{ readonly at: number, readonly response: ScheduledResponse }>): Replay {
  const scheduler = createResponseScheduler<ScheduledResponse>(LINK_MBPS)
  const sentAt = new Map<ScheduledResponse, number>()
  let linkFreeAt = 0
  let longestSmallMs = 0
  const carry = (bytes: number, now: number): number => {
    linkFreeAt = Math.max(linkFreeAt, now) + bytes / BYTES_PER_MS
    return linkFreeAt
  }
  for (let now = 0; now < 4000; now++) {
    const time = toMilliseconds(now)
    for (const { response } of arrivals.filter(({ at }) => at === now)) scheduler.add(response)
    if (now % 5 === 0) {
      scheduler.recordSent(SMALL_BYTES, time)
      longestSmallMs = Math.max(longestSmallMs, carry(SMALL_BYTES, now) - now)
    }
    for (const { response, bytes, isLast } of scheduler.takeGrants(time, () => false)) {
      const at = carry(bytes, now)
      if (isLast) sentAt.set(response, at)
    }
  }
  return { sentAt, longestSmallMs }
}

describe('createResponseScheduler', () => {
  const download = (at: number): { at: number, response: ScheduledResponse } =>
    ({ at, response: respond(90_000, at + 1500) })

  it('bounds the delay of small responses beside downloads that come together (guards against internal calls that miss their deadlines behind them)', () => {
    const { longestSmallMs, sentAt } = replay(Array.from({ length: 8 }, () => download(100)))
    expect(longestSmallMs).to.be.below(35)
    expect(sentAt.size).to.equal(8)
  })

  it('uses the whole link while responses wait (guards against downloads slowed by their own pacing)', () => {
    const arrivals = Array.from({ length: 8 }, () => download(0))
    const lastAt = Math.max(...replay(arrivals).sentAt.values())
    const bytes = 8 * 90_000
    // Small responses take an eighth of the link.
    expect(lastAt).to.be.below(bytes / BYTES_PER_MS * 1.2)
  })

  it('sends the more urgent response first, then the earlier target, and last what is too late anyway', () => {
    const tooLate = respond(90_000, -1000)
    const later = respond(90_000, 1500)
    const earlier = respond(90_000, 1200)
    const urgent = respond(90_000, 1500, { priority: 0 })
    const { sentAt } = replay([tooLate, later, earlier, urgent].map((response) => ({ at: 1, response })))
    const order = [...sentAt].sort(([, left], [, right]) => left - right).map(([response]) => response)
    expect(order).to.deep.equal([urgent, earlier, later, tooLate])
  })

  it('passes over a response whose receiver does not read, and gives it up after its deadline (guards against one receiver that stops all downloads)', () => {
    const scheduler = createResponseScheduler<ScheduledResponse>(LINK_MBPS)
    const unread = respond(90_000, 100)
    const read = respond(20_000, 1000)
    scheduler.add(unread)
    scheduler.add(read)
    const grants = scheduler.takeGrants(toMilliseconds(0), (response) => response === unread)
    expect(grants.map(({ response }) => response)).to.deep.equal([read])
    expect(scheduler.takeStalled(toMilliseconds(1000))).to.be.empty
    expect(scheduler.takeStalled(toMilliseconds(10_000))).to.deep.equal([unread])
    expect(scheduler.computeDelay(toMilliseconds(10_000))).to.equal(undefined)
  })

  it('grants each byte once, whatever the sizes and times (guards against responses that arrive damaged)', () => {
    fc.assert(fc.property(
      fc.array(
        fc.record({ bytes: fc.integer({ min: 1, max: 600_000 }), targetAt: fc.integer({ min: 0, max: 3000 }) }),
        { maxLength: 12 }
      ),
      fc.integer({ min: 0, max: 200 }),
      (sizes, linkMbps) => {
        const scheduler = createResponseScheduler<ScheduledResponse>(linkMbps)
        const responses = sizes.map(({ bytes, targetAt }) => respond(bytes, targetAt))
        for (const response of responses) scheduler.add(response)
        const granted = new Map<ScheduledResponse, number>()
        let now = 0
        while (scheduler.countBytes() > 0 && now < 100_000) {
          now += scheduler.computeDelay(toMilliseconds(now)) ?? 1
          for (const { response, bytes, isLast } of scheduler.takeGrants(toMilliseconds(now), () => false)) {
            const sum = (granted.get(response) ?? 0) + bytes
            granted.set(response, sum)
            expect(isLast).to.equal(sum === response.bytes)
          }
        }
        expect(responses.map((response) => granted.get(response))).to.deep.equal(responses.map(({ bytes }) => bytes))
      }
    ), { numRuns: 200 })
  })
})
