import { type Milliseconds, toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createCallProfile } from '../../src/serving/createCallProfile.js'
import { createRouteAdmission } from '../../src/serving/createRouteAdmission.js'
import { replayCalls, type CallLoad } from './replayCalls.js'
import { createDraw } from './replayLoad.js'

/** Eight slots run 333 calls of 24 ms a second. */
const CAPACITY = 333
const LOAD: Omit<CallLoad, 'lookupsPerSecond'> = {
  callShare: 1, downloadsPerSecond: 200, calledSlots: () => 8, durationMs: 16_000, hasBackpressure: true, seed: 7
}
const replay = (overload: number, given: Partial<CallLoad> = {}): ReturnType<typeof replayCalls> =>
  replayCalls({ ...LOAD, lookupsPerSecond: CAPACITY * overload / 2 / (given.callShare ?? 1), ...given })

describe('backpressure between services', () => {
  for (const shortBy of [0.2, 0.3]) {
    it(`serves more of both classes if the called service is short by ${shortBy} (guards against runs wasted by refused calls)`, () => {
      const [without, withRule] = [false, true].map((hasBackpressure) => replay(1 / (1 - shortBy), { hasBackpressure }))
      expect(withRule?.lookup.served).to.be.greaterThan(without?.lookup.served ?? Infinity)
      expect(withRule?.download.served).to.be.greaterThan(without?.download.served ?? Infinity)
      expect(withRule?.lookup.failed).to.be.at.most((without?.lookup.failed ?? 0) / 4)
    })

    it(`keeps the called service in full use if it is short by ${shortBy} (guards against a share that is too low)`, () => {
      const { calls, refusedCalls } = replay(1 / (1 - shortBy))
      expect((calls - refusedCalls) / (LOAD.durationMs / 2000)).to.be.at.least(CAPACITY * 0.9)
      expect(refusedCalls).to.be.at.most(calls * 0.18)
    })
  }

  it('serves more in all if only some runs make calls (guards against urgent runs that fail and take the slots of others)', () => {
    const [without, withRule] = [false, true].map((hasBackpressure) => {
      const { lookup, download } = replay(1.25, { hasBackpressure, callShare: 0.7 })
      return lookup.served + download.served
    })
    expect(withRule).to.be.greaterThan((without ?? 0) * 1.1)
  })

  it('refuses nothing without a shortage (guards against a change of the load that has room)', () => {
    const { shares } = replay(0.6)
    expect(Math.min(...shares)).to.equal(1)
  })

  it('reacts to a shortage and forgets it within two seconds (guards against capacity that stays unused)', () => {
    const calledSlots = (now: number): number => now >= 4000 && now < 9000 ? 3 : 12
    const { shares } = replay(0.9, { calledSlots, durationMs: 14_000 })
    expect(Math.min(...shares.slice(0, 40))).to.equal(1)
    expect(shares[45]).to.be.at.most(0.8)
    expect(Math.min(...shares)).to.be.at.least(0.1)
    expect(Math.min(...shares.slice(112))).to.be.at.least(0.9)
  })
})

describe('createCallProfile', () => {
  it('attributes calls to the routes whose runs make them, though others run at the same time (guards against refusing requests that make no calls)', () => {
    const random = createDraw(5)
    const profile = createCallProfile()
    const actions = new Map<number, Array<(now: Milliseconds) => void>>()
    const schedule = (at: number, action: (now: Milliseconds) => void): void => {
      actions.set(at, [...actions.get(at) ?? [], action])
    }
    for (let now = 0; now < 20_000; now++) {
      const time = toMilliseconds(now)
      for (const action of actions.get(now) ?? []) action(time)
      for (const [route, calls] of [['two-calls', 2], ['one-call', 1], ['none', 0]] as const) {
        if (random() >= 0.02) continue
        profile.recordRunStart(route, time)
        const workMs = Math.round(96 * (0.5 + random()))
        schedule(now + Math.round(workMs / 2), (callAt) => {
          for (let call = 0; call < calls; call++) profile.recordCall('orders', callAt)
        })
        schedule(now + workMs, (endAt) => { profile.recordRunEnd(route, endAt) })
      }
    }
    const end = toMilliseconds(20_000)
    const getPerRun = (route: string): number => profile.listCalls(route, end)[0]?.perRun ?? 0
    expect(getPerRun('two-calls')).to.be.within(1.6, 2.4)
    expect(getPerRun('one-call')).to.be.within(0.7, 1.3)
    expect(getPerRun('none')).to.be.at.most(0.3)
  })
})

describe('createRouteAdmission', () => {
  const countAdmitted = (admission: ReturnType<typeof createRouteAdmission>, now: number): number =>
    Array.from({ length: 100 }, () => admission.admit('r', toMilliseconds(now))).filter(({ kind }) => kind === 'admit').length

  it('admits the reported share until the reports lapse (guards against refusals by the report of a host that has gone)', () => {
    const admission = createRouteAdmission()
    expect(countAdmitted(admission, 0)).to.equal(100)
    admission.recordReport('r', 'krakow-1', 0.4, toMilliseconds(0))
    admission.recordReport('r', 'krakow-2', 0.6, toMilliseconds(0))
    expect(countAdmitted(admission, 0)).to.be.within(49, 51)
    expect(admission.listShares(toMilliseconds(1000))).to.deep.equal([{ route: 'r', share: 0.75 }])
    expect(countAdmitted(admission, 2000)).to.equal(100)
  })

  it('refuses with the time after which a retry is likely to be admitted', () => {
    const admission = createRouteAdmission()
    admission.recordReport('r', 'krakow-1', 0.5, toMilliseconds(0))
    const waits = Array.from({ length: 5 }, () => admission.admit('r', toMilliseconds(0)))
      .flatMap((decision) => decision.kind === 'refuse' ? [decision.waitMs] : [])
    expect(waits).to.have.length(2)
    for (const waitMs of waits) expect(waitMs).to.be.within(500, 2500)
  })
})
