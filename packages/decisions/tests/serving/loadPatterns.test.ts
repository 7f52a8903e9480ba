import { expect } from 'chai'
import { replayDecisions, replayNaive, type ReplayLoad, type ReplayServer } from './replayLoad.js'

const server = (host: string, given: Partial<ReplayServer> = {}): ReplayServer =>
  ({ host, slots: 9, slowdown: () => 1, ...given })
const four = (given: (index: number) => Partial<ReplayServer> = () => ({})): ReplayServer[] =>
  Array.from({ length: 4 }, (_, index) => server(`h${index}`, given(index)))

/** Four servers with nine slots and 60 ms per request have a capacity of 600 requests per second. */
const CALM: ReplayLoad = {
  servers: four(), rate: () => 0.3, durationMs: 6000, workMs: 60, targetMs: 200, deadlineMs: 1200, seed: 11
}

const patterns: Array<[string, ReplayLoad]> = [
  ['moderate load', CALM],
  ['burst of twice the capacity', { ...CALM, rate: (now) => now > 2000 && now < 4000 ? 1.2 : 0.3 }],
  ['one server five times slower', { ...CALM, servers: four((index) => index === 0 ? { slowdown: () => 5 } : {}) }],
  ['one server that becomes twelve times slower', {
    ...CALM, rate: () => 0.4, servers: four((index) => index === 0 ? { slowdown: (now) => now > 2000 ? 12 : 1 } : {})
  }],
  ['all servers cold for three seconds', {
    ...CALM,
    servers: four(() => ({
      slowdown: (now) => now < 3000 ? 2 : 1, coldPerSecond: (now) => now < 3000 ? 32 : undefined
    }))
  }],
  ['half of the servers missing', { ...CALM, rate: () => 0.45, servers: [server('h0'), server('h1')] }],
  ['servers of different speed near capacity', {
    ...CALM, rate: () => 0.5, servers: four((index) => ({ slowdown: () => [0.6, 1, 1.4, 0.8][index] ?? 1 }))
  }]
]

/** Three servers of different speed where four are needed, and callers that retry once. */
const RETURNING: ReplayLoad = {
  servers: Array.from({ length: 3 }, (_, index) =>
    server(`h${index}`, { slots: 12, slowdown: () => [1.67, 1, 0.71][index] ?? 1 })),
  rate: () => 0.53,
  durationMs: 8000,
  workMs: 85,
  targetMs: 200,
  deadlineMs: 500,
  seed: 5,
  returns: 1
}

const returningPatterns: Array<[string, ReplayLoad]> = [
  ['a quarter of the servers evacuated', RETURNING],
  ['burst with long timeouts', {
    ...RETURNING, rate: (now) => now > 2000 && now < 4000 ? 0.9 : 0.4, deadlineMs: 1200, returns: 2
  }],
  ['half of the servers missing, long timeouts', {
    ...RETURNING, servers: RETURNING.servers.slice(0, 2), rate: () => 0.45, deadlineMs: 1200, returns: 2
  }]
]

describe('load patterns', () => {
  for (const [title, load] of returningPatterns) {
    it(`answers more requests in time, and no fewer in total, if the age of retries is known: ${title}`, () => {
      const known = replayDecisions(load)
      const unknown = replayDecisions(load, false)
      expect(known.inTarget).to.be.greaterThan(unknown.inTarget)
      expect(known.inTarget + known.late).to.be.at.least((unknown.inTarget + unknown.late) * 0.99)
      expect({ known, unknown }).toMatchSnapshot()
    })
  }

  for (const [title, load] of patterns) {
    it(`answers at least as many requests in time as the naive policy, and lets none wait until the deadline: ${title}`, () => {
      const decided = replayDecisions(load)
      const naive = replayNaive(load)
      expect(decided.inTarget).to.be.at.least(naive.inTarget)
      expect(decided.lost).to.be.at.most(decided.asked * 0.01)
      expect(decided.inTarget + decided.late + decided.refused + decided.lost).to.equal(decided.asked)
      expect({ decided, naive }).toMatchSnapshot()
    })
  }
})
