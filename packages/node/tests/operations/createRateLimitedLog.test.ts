import { type EventName, toMilliseconds } from '@snipenotch/contracts'
import { createCounters } from '@snipenotch/daemon'
import { expect } from 'chai'
import { createRateLimitedLog, MAX_LINES_PER_SECOND } from '../../src/operations/createRateLimitedLog.js'

describe('createRateLimitedLog', () => {
  it('writes more lines while its limit is raised (guards against requests without a line at a node that stops)', () => {
    const lines: EventName[] = []
    let maxLines = MAX_LINES_PER_SECOND
    const clock = { now: () => toMilliseconds(0), wall: () => toMilliseconds(0) }
    const log = createRateLimitedLog((name) => { lines.push(name) }, createCounters(), clock, () => maxLines)
    const writeLines = (): void => { for (let index = 0; index < 100; index++) log('requestAnswered', {}) }
    writeLines()
    expect(lines).to.have.length(MAX_LINES_PER_SECOND)
    maxLines = 100
    writeLines()
    expect(lines).to.have.length(100)
  })
})
