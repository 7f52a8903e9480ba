import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { createTeamShares, type TeamJob } from '../../src/serving/createTeamShares.js'
import { replayTeams, type ReplayTeam, type TeamResult } from './replayTeams.js'

const DURATION_MS = 15_000
const smallTeams = (count: number, perSecond: number): ReplayTeam[] => Array.from({ length: count }, (_, index) =>
  ({ name: `small-${index}`, perSecond, workMs: 60, retries: 0 }))

const sum = (values: readonly number[]): number => values.reduce((left, right) => left + right, 0)
const computeMean = (values: readonly number[]): number => sum(values) / values.length
/** Share of requests served in the worst-served tenth of the small teams. */
function computeWorstTenth (results: readonly TeamResult[]): number {
  const small = results.filter(({ name }) => name.startsWith('small'))
  const sorted = small.map(({ share }) => share).sort((left, right) => left - right)
  return computeMean(sorted.slice(0, Math.ceil(sorted.length / 10)))
}

/** 8 slots and 60 ms per request have a capacity of 133 requests per second. */
const patterns: Array<[string, readonly ReplayTeam[]]> = [
  ['one team with a high request rate', [{ name: 'large', perSecond: 400, workMs: 60, retries: 0 }, ...smallTeams(9, 8)]],
  ['a team whose callers retry at once', [{ name: 'eager', perSecond: 70, workMs: 60, retries: 40 }, ...smallTeams(9, 9)]],
  ['a large team beside many small ones', [{ name: 'large', perSecond: 300, workMs: 60, retries: 3 }, ...smallTeams(50, 1.2)]]
]

describe('createTeamShares', () => {
  for (const [title, teams] of patterns) {
    it(`serves the other teams in time: ${title} (guards against teams that are starved)`, () => {
      const fair = replayTeams(teams, DURATION_MS)
      const unfair = replayTeams(teams, DURATION_MS, false)
      expect(computeWorstTenth(fair)).to.be.above(0.9)
      expect(computeWorstTenth(unfair)).to.be.below(0.7)
    })

    it(`serves as many requests as without sharing, less 3%: ${title} (guards against sharing that costs throughput)`, () => {
      const countServed = (isFair: boolean): number =>
        sum(replayTeams(teams, DURATION_MS, isFair).map(({ served }) => served))
      expect(countServed(true)).to.be.above(countServed(false) * 0.97)
    })
  }

  it('serves many small teams alike under overload (guards against a team served less than a quarter as often as all)', () => {
    const results = replayTeams(smallTeams(100, 2.2), DURATION_MS)
    expect(computeWorstTenth(results)).to.be.above(computeMean(results.map(({ share }) => share)) / 2)
  })

  it('drops idle teams and ranks by recent use (guards against state that grows with every team ever seen)', () => {
    const use = fc.record({ team: fc.nat(200).map(String), at: fc.nat(60_000), ms: fc.nat(500) })
    fc.assert(fc.property(fc.array(use), (uses) => {
      const shares = createTeamShares<TeamJob>()
      for (const { team, at, ms } of uses.sort((left, right) => left.at - right.at)) {
        const job = { team }
        shares.recordStart(job, 20, toMilliseconds(at))
        shares.recordEnd(job, ms)
      }
      shares.recordStart({ team: 'early' }, 500, toMilliseconds(200_000))
      shares.recordStart({ team: 'late' }, 100, toMilliseconds(212_000))
      expect(shares.countTeams()).to.equal(2)
      expect(shares.compare({ team: 'early' }, { team: 'late' })).to.be.below(0)
      expect(shares.compare({ team: 'new' }, { team: 'early' })).to.be.below(0)
      expect(shares.isOverShare({ team: 'late' })).to.equal(true)
    }))
  })
})
