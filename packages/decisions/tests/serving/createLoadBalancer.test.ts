import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import { createLoadBalancer, type LoadBalancer, type BalancerCandidate } from '../../src/serving/createLoadBalancer.js'

const REQUEST = { targetLatencyMs: 200, hasLargeBody: false }
const candidate = (host: string, distanceMs = 0): BalancerCandidate => ({ host, slots: 8, distanceMs })
const IDLE = { load: 0, slots: 8, serviceMs: 60, failureShare: 0, fetchMs: 0 }

/** Creates a deterministic generator of numbers in [0, 1). */
function createDraw (): () => number {
  let state = 7
  return () => {
    state = (state * 1103515245 + 12345) % 2147483648
    return state / 2147483648
  }
}

function countChoices (
  balancer: LoadBalancer, candidates: readonly BalancerCandidate[], now: number, request = REQUEST
): Record<string, number> {
  const counts: Record<string, number> = {}
  for (let index = 0; index < 1000; index++) {
    const host = balancer.choose(candidates, request, toMilliseconds(now))?.host ?? ''
    counts[host] = (counts[host] ?? 0) + 1
  }
  return counts
}

function report (balancer: LoadBalancer, host: string, load: Parameters<LoadBalancer['recordEnd']>[1], now: number): void {
  balancer.recordSend(host)
  balancer.recordEnd(host, load, toMilliseconds(now))
}

describe('createLoadBalancer', () => {
  it('avoids a slow server while others have capacity (guards against a slow server that makes a share of all requests late)', () => {
    const balancer = createLoadBalancer(createDraw())
    report(balancer, 'fast', IDLE, 100)
    report(balancer, 'slow', { ...IDLE, serviceMs: 400 }, 100)
    expect(countChoices(balancer, [candidate('fast'), candidate('slow')], 110).slow ?? 0).to.be.lessThan(20)
  })

  it('avoids a server that fails part of its requests (guards against a server that responds fast because it fails)', () => {
    const balancer = createLoadBalancer(createDraw())
    report(balancer, 'good', IDLE, 100)
    report(balancer, 'grey', { ...IDLE, serviceMs: 20, failureShare: 0.5 }, 100)
    expect(countChoices(balancer, [candidate('good'), candidate('grey')], 110).grey ?? 0).to.be.lessThan(20)
  })

  it('sends uploads, but not other requests, to hosts with a less busy link (guards against uploads that wait for one link)', () => {
    const balancer = createLoadBalancer(createDraw())
    report(balancer, 'free', IDLE, 100)
    report(balancer, 'behind', { ...IDLE, fetchMs: 300 }, 100)
    const candidates = [candidate('free'), candidate('behind')]
    const upload = { ...REQUEST, hasLargeBody: true }
    expect(countChoices(balancer, candidates, 110, upload).behind ?? 0).to.be.lessThan(20)
    expect(countChoices(balancer, candidates, 110).behind ?? 0).to.be.greaterThan(400)
  })

  it('spills over to another data centre only when the near server is full', () => {
    const balancer = createLoadBalancer(createDraw())
    const candidates = [candidate('near'), candidate('far', 20)]
    report(balancer, 'near', IDLE, 100)
    report(balancer, 'far', IDLE, 100)
    expect(countChoices(balancer, candidates, 110).far ?? 0).to.be.lessThan(20)
    report(balancer, 'near', { ...IDLE, load: 16 }, 120)
    expect(countChoices(balancer, candidates, 130).near ?? 0).to.be.lessThan(20)
  })

  it('prefers the local server while it has a free slot, and avoids it as soon as it is full', () => {
    const balancer = createLoadBalancer(createDraw())
    const candidates = [candidate('own'), candidate('other', 10)]
    report(balancer, 'other', { ...IDLE, load: 4 }, 100)
    balancer.recordLoad('own', { ...IDLE, load: 4 }, toMilliseconds(100))
    expect(countChoices(balancer, candidates, 110).other ?? 0).to.be.lessThan(100)
    balancer.recordLoad('own', { ...IDLE, load: 9 }, toMilliseconds(110))
    expect(countChoices(balancer, candidates, 110).own ?? 0).to.be.lessThan(100)
  })

  it('retries a slow server after a few seconds and uses a new one immediately', () => {
    const balancer = createLoadBalancer(createDraw())
    const candidates = [candidate('a'), candidate('slow'), candidate('new')]
    report(balancer, 'a', IDLE, 100)
    report(balancer, 'slow', { ...IDLE, serviceMs: 400 }, 100)
    expect(countChoices(balancer, candidates, 110).new).to.be.greaterThan(100)
    report(balancer, 'a', IDLE, 5000)
    expect(countChoices(balancer, candidates, 5010).slow).to.be.greaterThan(100)
  })

  it('spreads requests over many hosts when nodes share the same outdated reports (guards against all of them choosing one host)', () => {
    const balancer = createLoadBalancer(createDraw())
    const candidates = Array.from({ length: 30 }, (_, index) => candidate(`h${index}`, index < 10 ? 1 : 5))
    report(balancer, 'h3', { ...IDLE, serviceMs: 20 }, 100)
    const counts = countChoices(balancer, candidates, 110)
    expect(Math.max(...Object.values(counts))).to.be.lessThan(250)
    expect(Object.keys(counts).length).to.be.at.least(10)
  })

  it('excludes a host that refused a request, unless there is no other', () => {
    const balancer = createLoadBalancer(createDraw())
    balancer.avoid('a', 500, toMilliseconds(100))
    expect(countChoices(balancer, [candidate('a'), candidate('b')], 200)).to.have.all.keys('b')
    expect(countChoices(balancer, [candidate('a')], 200)).to.have.all.keys('a')
  })
})
