import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { computeDeadline, computeRemaining } from '../../src/requests/deadlines.js'
import { parseAttempt } from '../../src/requests/parseAttempt.js'

describe('deadlines', () => {
  const cases: Array<[string | undefined, number]> = [
    [undefined, 2000], ['500', 500], ['0', 0], ['99999', 2000], ['-5', 2000], ['1e3', 2000], ['abc', 2000],
    ['5, 7', 2000], ['', 2000], ['99999999999', 2000]
  ]
  for (const [header, expected] of cases) {
    it(`header ${JSON.stringify(header)} leaves ${expected} ms (guards against a caller's header that extends the route's limit)`, () => {
      expect(computeDeadline(toMilliseconds(100), header, 2000)).to.equal(100 + expected)
    })
  }

  it('decreases at each hop and never below 0 (guards against a deadline that grows over a call chain)', () => {
    fc.assert(fc.property(fc.array(fc.double({ min: 0.01, max: 300, noNaN: true }), { maxLength: 9 }), (hops) => {
      let header = '1000'
      for (const duration of hops) {
        const deadlineAt = computeDeadline(toMilliseconds(0), header, 60_000)
        const next = computeRemaining(toMilliseconds(duration), deadlineAt)
        expect(next).to.be.at.least(0)
        if (header !== '0') expect(next).to.be.below(Number(header))
        header = String(next)
      }
    }))
  })

  for (const [text, expected] of [[undefined, 0], ['0', 0], ['2', 2], ['-1', 0], ['x', 0], ['1, 2', 0], ['1000', 0]] as const) {
    it(`attempt ${JSON.stringify(text)} is ${expected} (guards against a malformed attempt header)`, () => {
      expect(parseAttempt(text)).to.equal(expected)
    })
  }
})
