import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { isTooLateForShutdown } from '../../src/serving/ShutdownDeadlines.js'

const at = toMilliseconds
/** Shutdown of a node that begins at 1000 ms. */
const plan = { lateFrom: at(3300), answerBy: at(6550) }
/** Arrival times and deadlines of requests, in milliseconds. */
const REQUESTS: ReadonlyArray<readonly [number, number]> = [
  [1000, 9000], [3299, 9000], [3300, 6550], [3300, 6551], [6000, 6500], [6000, 6600]
]

describe('ShutdownDeadlines', () => {
  it('runs late requests only if they end before the shutdown (guards against requests cut off at the end of the grace period)', () => {
    const verdicts = REQUESTS.map(([now, deadlineAt]) => isTooLateForShutdown(plan, at(deadlineAt), at(now)) ? 'too late' : 'runs')
    expect(verdicts).to.deep.equal(['runs', 'runs', 'runs', 'too late', 'runs', 'too late'])
  })
})
