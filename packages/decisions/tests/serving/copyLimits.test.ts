import { expect } from 'chai'
import fc from 'fast-check'
import { computeCopyLimits, computePollDuration, isReaderOutdated } from '../../src/index.js'

const MAX_POLL_MS = 1200

describe('copyLimits', () => {
  it('follow from the time for a change (guards against constants that suit one deployment)', () => {
    expect([1000, 2000, 3000].map((applyMs) => computeCopyLimits(applyMs, MAX_POLL_MS))).toMatchSnapshot()
  })

  it('leave a follower time for its call, and a calm reader time for its poll', () => {
    fc.assert(fc.property(fc.integer({ min: 400, max: 20_000 }), (applyMs) => {
      const limits = computeCopyLimits(applyMs, MAX_POLL_MS)
      expect(limits.longPollMs).to.be.below(limits.pollEndMs)
      expect(limits.pollEndMs).to.be.below(limits.readerVerifyMs)
      expect(limits.readerVerifyMs).to.be.below(limits.followerVerifyMs)
      expect(limits.followerVerifyMs + limits.verifyWithinMs).to.be.at.most(applyMs)
    }))
  })

  /** Polls a store that answers `lateMs` late; returns the proven age of the copy at the end of each poll. */
  function replayLateAnswers (lateMs: number, changesAtMs: readonly number[] = []): number[] {
    const limits = computeCopyLimits(2000, MAX_POLL_MS)
    let now = 0
    let provenAt = 0
    let latenessMs = 0
    const agesMs: number[] = []
    while (now < 20_000) {
      const askedAt = now
      const pollMs = computePollDuration(limits, now - provenAt, latenessMs)
      const changeAt = changesAtMs.find((at) => at > askedAt && at < askedAt + pollMs)
      now = (changeAt ?? askedAt + pollMs) + lateMs
      agesMs.push(now - provenAt)
      provenAt = changeAt === undefined ? askedAt + pollMs : askedAt
      if (changeAt === undefined) latenessMs = lateMs
    }
    return agesMs
  }

  it('keep a calm reader from being verified, also if the store is late (guards against calls of all followers)', () => {
    const { readerVerifyMs } = computeCopyLimits(2000, MAX_POLL_MS)
    for (const lateMs of [0, 10, 100, 300, 600]) {
      const [first, ...later] = replayLateAnswers(lateMs)
      expect(first).to.equal(MAX_POLL_MS + lateMs)
      // The lateness is known from the second poll on.
      expect(Math.max(...later)).to.be.below(readerVerifyMs)
    }
    expect(Math.max(...replayLateAnswers(10, [1100, 1900, 2900, 3000, 6000]))).to.be.below(readerVerifyMs)
  })

  it('leave a calm reader its whole poll (guards against more calls on calm days)', () => {
    for (const applyMs of [2000, 2500, 3000]) {
      // The age when a poll begins is the way of the last response.
      expect(computePollDuration(computeCopyLimits(applyMs, MAX_POLL_MS), 10, 10)).to.equal(MAX_POLL_MS)
    }
  })

  it('give a duration for every age (guards against a poll without one while a copy was never proven)', () => {
    const age = fc.oneof(fc.integer({ min: 0, max: 100_000 }), fc.constant(Infinity))
    for (const pollEndMs of [MAX_POLL_MS, Infinity]) {
      const limits = { ...computeCopyLimits(2000, MAX_POLL_MS), pollEndMs }
      fc.assert(fc.property(age, fc.integer({ min: 0, max: 5000 }), (provenAgeMs, latenessMs) => {
        expect(computePollDuration(limits, provenAgeMs, latenessMs)).to.satisfy(Number.isInteger)
        expect(computePollDuration(limits, provenAgeMs, latenessMs)).to.be.within(0, MAX_POLL_MS)
      }))
    }
  })

  it('find a reader that has lost the store alone (guards against readers that are given up in an outage)', () => {
    const limits = computeCopyLimits(2000, MAX_POLL_MS)
    const ages = [
      { readerAgeMs: 1700, ownAgeMs: 200 },
      { readerAgeMs: 5500, ownAgeMs: 1300 },
      // A call was just answered, and the reader's poll is about to end.
      { readerAgeMs: 1300, ownAgeMs: 0 },
      // The store responds to neither.
      { readerAgeMs: 6000, ownAgeMs: 6010 },
      { readerAgeMs: 6000, ownAgeMs: 4900 },
      { readerAgeMs: Infinity, ownAgeMs: Infinity },
      // The reader reads the whole table just now, or is of a build that states no age.
      { readerAgeMs: Infinity, ownAgeMs: 1000 }
    ]
    expect(ages.map((each) => isReaderOutdated(limits, each))).to.deep.equal(
      [true, true, false, false, false, false, false]
    )
  })
})
