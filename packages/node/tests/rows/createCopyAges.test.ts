import { type Clock, toMilliseconds } from '@snipenotch/contracts'
import { isRevocationKnown } from '@snipenotch/decisions'
import { expect } from 'chai'
import fc from 'fast-check'
import { createCopyAges } from '../../src/rows/createCopyAges.js'

const TABLE = 'op'
const REVOCATION_MS = 5000

/** A poll of the store: times until it answers, and until the answer is handled; the latter may be a suspension. */
const poll = fc.record({
  storeMs: fc.integer({ min: 0, max: 1500 }),
  returnMs: fc.oneof(fc.integer({ min: 0, max: 50 }), fc.integer({ min: 0, max: 20_000 })),
  isSuspended: fc.boolean(),
  isLost: fc.boolean()
})

describe('createCopyAges', () => {
  it('never proves a copy younger than its answer (guards against removed keys after a pause or a suspension)', () => {
    fc.assert(fc.property(fc.array(poll, { maxLength: 20 }), (polls) => {
      let monotonic = 0
      let wall = 1e12
      const clock: Clock = { now: () => toMilliseconds(monotonic), wall: () => toMilliseconds(wall) }
      const ages = createCopyAges(clock)
      let answeredAt = -Infinity
      for (const { storeMs, returnMs, isSuspended, isLost } of polls) {
        const askedAt = ages.readClocks()
        monotonic += storeMs
        wall += storeMs
        const answered = wall
        // The monotonic clock stands still while the machine is suspended.
        monotonic += isSuspended ? 0 : returnMs
        wall += returnMs
        if (!isLost) {
          ages.recordProven(TABLE, askedAt, 0)
          answeredAt = answered
        }
        const isKnown = isRevocationKnown(ages.getProven(TABLE), REVOCATION_MS)
        if (isKnown) expect(wall - answeredAt).to.be.below(REVOCATION_MS)
      }
    }))
  })

  it('keeps the latest proof, and none of a reader that has none', () => {
    const clock: Clock = { now: () => toMilliseconds(1000), wall: () => toMilliseconds(9000) }
    const ages = createCopyAges(clock)
    ages.recordProven(TABLE, ages.readClocks(), -Infinity)
    expect(ages.getProven(TABLE)).to.deep.equal({ monotonicMs: Infinity, wallMs: Infinity })
    for (const offsetMs of [-50, -300]) ages.recordProven(TABLE, ages.readClocks(), offsetMs)
    expect(ages.getProven(TABLE)).to.deep.equal({ monotonicMs: 50, wallMs: 50 })
  })
})
