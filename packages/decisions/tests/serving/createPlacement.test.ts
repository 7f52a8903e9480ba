import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createPlacement, type Placement, type PlacementCandidate } from '../../src/serving/createPlacement.js'

const REQUEST = { targetLatencyMs: 200, hasLargeBody: false }
const candidate = (host: string, distanceMs = 0): PlacementCandidate => ({ host, slots: 8, distanceMs })
const IDLE = { load: 0, slots: 8, serviceMs: 60, failureShare: 0, fetchMs: 0 }

/** Repeatable numbers in [0, 1). */
function createDraw (): () => number {
  let state = 7
  return () => {
    state = (state * 1103515245 + 12345) % 2147483648
    return state / 2147483648
  }
}

function countChoices (
  placement: Placement, candidates: readonly PlacementCandidate[], now: number, request = REQUEST
): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let index = 0; index < 1000; index++) {
    const host = placement.choose(candidates, request, toMilliseconds(now))?.host ?? ''
    counts[host] = (counts[host] ?? 0) + 1
  }
  return counts
}

function report (placement: Placement, host: string, load: Parameters<Placement['recordEnd']>[1], now: number): void {
  placement.recordSend(host)
  placement.recordEnd(host, load, toMilliseconds(now))
}

describe('createPlacement', () => {
  it('keeps requests off a slow server while others have room (guards against a slow server that makes a share of all late)', () => {
    const placement = createPlacement(createDraw())
    report(placement, 'fast', IDLE, 100)
    report(placement, 'slow', { ...IDLE, serviceMs: 400 }, 100)
    expect(countChoices(placement, [candidate('fast'), candidate('slow')], 110).slow ?? 0).to.be.lessThan(20)
  })

  it('keeps requests off a server that fails part of them (guards against a server that answers fast because it fails)', () => {
    const placement = createPlacement(createDraw())
    report(placement, 'good', IDLE, 100)
    report(placement, 'grey', { ...IDLE, serviceMs: 20, failureShare: 0.5 }, 100)
    expect(countChoices(placement, [candidate('good'), candidate('grey')], 110).grey ?? 0).to.be.lessThan(20)
  })

  it('keeps uploads off a host whose link is behind, and other requests not (guards against uploads that wait for one link)', () => {
    const placement = createPlacement(createDraw())
    report(placement, 'free', IDLE, 100)
    report(placement, 'behind', { ...IDLE, fetchMs: 300 }, 100)
    const candidates = [candidate('free'), candidate('behind')]
    const upload = { ...REQUEST, hasLargeBody: true }
    expect(countChoices(placement, candidates, 110, upload).behind ?? 0).to.be.lessThan(20)
    expect(countChoices(placement, candidates, 110).behind ?? 0).to.be.greaterThan(400)
  })

  it('spills to another data centre when the near server is full, and not before', () => {
    const placement = createPlacement(createDraw())
    const candidates = [candidate('near'), candidate('far', 20)]
    report(placement, 'near', IDLE, 100)
    report(placement, 'far', IDLE, 100)
    expect(countChoices(placement, candidates, 110).far ?? 0).to.be.lessThan(20)
    report(placement, 'near', { ...IDLE, load: 16 }, 120)
    expect(countChoices(placement, candidates, 130).near ?? 0).to.be.lessThan(20)
  })

  it('keeps to its own server while it has a free slot, and leaves it at once when it is full', () => {
    const placement = createPlacement(createDraw())
    const candidates = [candidate('own'), candidate('other', 10)]
    report(placement, 'other', { ...IDLE, load: 4 }, 100)
    placement.recordLoad('own', { ...IDLE, load: 4 }, toMilliseconds(100))
    expect(countChoices(placement, candidates, 110).other ?? 0).to.be.lessThan(100)
    placement.recordLoad('own', { ...IDLE, load: 9 }, toMilliseconds(110))
    expect(countChoices(placement, candidates, 110).own ?? 0).to.be.lessThan(100)
  })

  it('tries a slow server again after some seconds, and a new one at once', () => {
    const placement = createPlacement(createDraw())
    const candidates = [candidate('a'), candidate('slow'), candidate('new')]
    report(placement, 'a', IDLE, 100)
    report(placement, 'slow', { ...IDLE, serviceMs: 400 }, 100)
    expect(countChoices(placement, candidates, 110).new).to.be.greaterThan(100)
    report(placement, 'a', IDLE, 5000)
    expect(countChoices(placement, candidates, 5010).slow).to.be.greaterThan(100)
  })

  it('spreads the requests of nodes with one stale view over many hosts (guards against all of them choosing the same)', () => {
    const placement = createPlacement(createDraw())
    const candidates = Array.from({ length: 30 }, (_, index) => candidate(`h${index}`, index < 10 ? 1 : 5))
    report(placement, 'h3', { ...IDLE, serviceMs: 20 }, 100)
    const counts = countChoices(placement, candidates, 110)
    expect(Math.max(...Object.values(counts))).to.be.lessThan(250)
    expect(Object.keys(counts).length).to.be.at.least(10)
  })

  it('leaves out a host that refused, unless there is no other', () => {
    const placement = createPlacement(createDraw())
    placement.avoid('a', 500, toMilliseconds(100))
    expect(countChoices(placement, [candidate('a'), candidate('b')], 200)).to.have.all.keys('b')
    expect(countChoices(placement, [candidate('a')], 200)).to.have.all.keys('a')
  })
})
