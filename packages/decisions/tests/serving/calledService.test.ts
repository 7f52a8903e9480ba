import { expect } from 'chai'
import { replayClasses, type ReplayClass } from './replayClasses.js'

const SECONDS = 10

/** Urgent requests of callers and calls of running requests, as at one of three backend servers after two have left. */
const composeClasses = (load: number): ReplayClass[] => [
  {
    name: 'sign', priority: 0, isInternal: false, perSecond: () => 56 * load, workMs: 84, targetMs: 250, deadlineMs: 600
  },
  {
    name: 'call', priority: 1, isInternal: true, perSecond: () => 226 * load, workMs: 30, targetMs: 120, deadlineMs: 400
  }
]
const replay = (load: number): ReturnType<typeof replayClasses> =>
  replayClasses({ classes: composeClasses(load), slots: 6, durationMs: SECONDS * 1000, seed: 3 })

describe('overload of a service by the calls of a less urgent class', () => {
  for (const load of [0.6, 1, 1.5]) {
    const { sign, call } = replay(load)
    const servedCalls = (call?.inTarget ?? 0) + (call?.late ?? 0)

    it(`serves most of the urgent requests at ${load} times the load (guards against a most urgent class that gets nothing)`, () => {
      const urgentDemand = 56 * load * 84 / 1000
      const expectedShare = Math.min(0.9, 6 / urgentDemand / 2)
      expect(sign?.inTarget).to.be.at.least((sign?.asked ?? 0) * expectedShare)
    })

    it(`still serves calls at ${load} times the load (guards against calls that starve)`, () => {
      expect(servedCalls).to.be.at.least((sign?.inTarget ?? 0) * 0.7)
    })

    it(`refuses calls early at ${load} times the load (guards against requests that hold their slots while their calls wait)`, () => {
      expect((call?.refusedAfterMs ?? 0) / (call?.refused ?? 1)).to.be.at.most(120)
      expect((call?.servedAfterMs ?? 0) / servedCalls).to.be.at.most(120)
      expect({ sign, call }).toMatchSnapshot()
    })
  }
})
