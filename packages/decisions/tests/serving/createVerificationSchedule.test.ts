import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createVerificationSchedule } from '../../src/index.js'

const LIMIT_MS = 1500
const VERIFY_WITHIN_MS = 500
const STEP_MS = 100

/** Returns the times of the calls of one host, in milliseconds, while nothing but its calls proves its copy. */
function replayCalls (totalMs: number, tookMs: number, isAnswered: boolean): number[] {
  const schedule = createVerificationSchedule(VERIFY_WITHIN_MS)
  const calls: number[] = []
  let provenAt = 0
  let begunAt: number | undefined
  for (let now = 0; now < totalMs; now += STEP_MS) {
    if (begunAt !== undefined && now - begunAt >= tookMs) {
      if (isAnswered) provenAt = begunAt
      begunAt = undefined
      schedule.end(toMilliseconds(now), isAnswered)
    }
    if (!schedule.isDue(toMilliseconds(now), now - provenAt, LIMIT_MS)) continue
    schedule.begin(toMilliseconds(now))
    begunAt = now
    calls.push(now)
  }
  return calls
}

describe('createVerificationSchedule', () => {
  it('verifies a copy whenever it is older than the limit, beside readers that have lost the store unnoticed', () => {
    expect(replayCalls(10_000, 10, true)).to.deep.equal([1600, 3200, 4800, 6400, 8000, 9600])
  })

  it('delays calls more and more while the store is slow or silent (guards against load on a store that has trouble)', () => {
    expect(replayCalls(20_000, 800, true)).to.deep.equal([1600, 3200, 5000, 7800, 12_600, 17_400])
    expect(replayCalls(20_000, 700, false)).to.deep.equal([1600, 2800, 4500, 7200, 11_900, 16_600])
  })

  it('makes no second call while one is open', () => {
    expect(replayCalls(5000, 10_000, true)).to.deep.equal([1600])
  })
})
