import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createInstanceLoadTracker } from '../../src/serving/createInstanceLoadTracker.js'

const at = toMilliseconds

describe('createInstanceLoadTracker', () => {
  it('leaves out the slots that work of others occupies, until the statements are old (guards against requests refused by a server that is full)', () => {
    const tracker = createInstanceLoadTracker()
    expect(tracker.computeSlots(6, at(0))).to.equal(6)
    for (const now of [0, 10]) tracker.record({ running: 6, waiting: 1, slots: 6 }, 4, at(now))
    expect(tracker.computeSlots(6, at(20))).to.equal(3)
    expect(tracker.computeSlots(6, at(2000))).to.equal(6)
  })

  it('takes the smaller of two statements (guards against idle slots after responses that arrive together)', () => {
    const tracker = createInstanceLoadTracker()
    tracker.record({ running: 4, waiting: 0, slots: 6 }, 4, at(0))
    tracker.record({ running: 4, waiting: 0, slots: 6 }, 3, at(0))
    expect(tracker.computeSlots(6, at(0))).to.equal(6)
  })

  it('takes fewer slots than reported if the server states fewer, but never more', () => {
    const tracker = createInstanceLoadTracker()
    tracker.record({ running: 1, waiting: 0, slots: 3 }, 1, at(0))
    expect(tracker.computeSlots(6, at(0))).to.equal(3)
    tracker.record({ running: 1, waiting: 0, slots: 60 }, 1, at(0))
    expect(tracker.computeSlots(6, at(0))).to.equal(6)
    tracker.reset()
    expect(tracker.computeSlots(6, at(0))).to.equal(6)
  })

  it('always allows at least one request and at most the slots (guards against a faulty server that stops its own traffic, or is sent too much)', () => {
    const count = fc.integer({ min: 0, max: 1_000_000 })
    const statement = fc.record({
      running: count, waiting: count, slots: fc.integer({ min: 1, max: 1000 }), inFlight: count
    })
    fc.assert(fc.property(fc.array(statement), fc.integer({ min: 1, max: 100 }), (statements, slots) => {
      const tracker = createInstanceLoadTracker()
      for (const { inFlight, ...load } of statements) tracker.record(load, inFlight, at(0))
      expect(tracker.computeSlots(slots, at(0))).to.be.within(1, slots)
    }))
  })
})
