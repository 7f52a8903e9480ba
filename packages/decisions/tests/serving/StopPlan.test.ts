import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { isTooLate } from '../../src/serving/StopPlan.js'

const at = toMilliseconds
/** A node told to stop at 1000 ms. */
const plan = { lateAt: at(3300), answeredAt: at(6550) }
/** Times of reading and ends of requests, in milliseconds. */
const REQUESTS: ReadonlyArray<readonly [number, number]> = [
  [1000, 9000], [3299, 9000], [3300, 6550], [3300, 6551], [6000, 6500], [6000, 6600]
]

describe('StopPlan', () => {
  it('runs what comes late only if it ends in time (guards against late requests cut at the end of the grace period)', () => {
    const verdicts = REQUESTS.map(([now, endAt]) => isTooLate(plan, at(endAt), at(now)) ? 'too late' : 'runs')
    expect(verdicts).to.deep.equal(['runs', 'runs', 'runs', 'too late', 'runs', 'too late'])
  })
})
