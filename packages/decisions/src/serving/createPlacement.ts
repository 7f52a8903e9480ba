import type { Milliseconds } from '@snipenotch/contracts'

/** Load that a host reported with an answer. */
export interface ReportedLoad {
  readonly load: number
  readonly slots: number
  readonly serviceMs: number
  /** Share of its answers that failed lately, 0 to 1. */
  readonly failureShare: number
  /** Time until a large body offered now would begin to arrive, in milliseconds. */
  readonly fetchMs: number
}

/** A host that could run a request. */
export interface PlacementCandidate {
  readonly host: string
  readonly slots: number
  /** Extra time and cost of reaching the host, in milliseconds. */
  readonly distanceMs: number
}

/** What a request asks of its host. */
export interface PlacementRequest {
  readonly targetLatencyMs: number
  /** Its body is large, so the host has to fetch it. */
  readonly hasLargeBody: boolean
}

/**
 * Chooses the host of each request by its expected time. Answers slow, failing and cold backend servers, bursts that
 * fill the near data centre, and uploads that wait for the link of one host while that of another is free.
 */
export interface Placement {
  readonly choose: (
    candidates: readonly PlacementCandidate[], request: PlacementRequest, now: Milliseconds
  ) => PlacementCandidate | undefined
  readonly recordSend: (host: string) => void
  /** Ends a send; `load` is what the host reported, if it answered. */
  readonly recordEnd: (host: string, load: ReportedLoad | undefined, now: Milliseconds) => void
  /** Takes the load that a host has now. */
  readonly recordLoad: (host: string, load: ReportedLoad, now: Milliseconds) => void
  /** Keeps requests away from a host that refused, for `durationMs`. */
  readonly avoid: (host: string, durationMs: number, now: Milliseconds) => void
  /** Expected time at a host in milliseconds, its distance included. */
  readonly computeCost: (candidate: PlacementCandidate, request: PlacementRequest, now: Milliseconds) => number
}

interface HostLoad {
  inFlight: number
  /** Requests of other nodes at the last report. */
  othersLoad: number
  reportedAt: Milliseconds
  slots: number
  serviceMs: number
  failureShare: number
  fetchMs: number
  avoidUntil: Milliseconds
}

/** Time in which a report loses its weight, in milliseconds: hosts drain their queues in a few hundred. */
const REPORT_LIFETIME_MS = 1500
/** Time in which a slow or failing host is tried again, in milliseconds. */
const JUDGEMENT_LIFETIME_MS = 4000
/** Share of the target latency that a request is assumed to take at a host that has not reported. */
const ASSUMED_SHARE_OF_TARGET = 0.3
/** Growth of the time at a backend server whose slots are all busy. */
const FULL_SLOWDOWN = 0.4
/** Share of requests that go to a random host, so that new and recovered hosts are noticed. */
const EXPLORE_SHARE = 0.01
/** Spread of the random part of a cost, so that nodes with the same view do not all choose the same host. */
const NOISE_SHARE = 0.1

/** Candidates up to which all are compared. */
const MAX_COMPARED = 6
/** Near candidates drawn where there are more. */
const NEAR_SAMPLES = 2
/** Difference in distance within which hosts count as near, in milliseconds: hosts of one data centre. */
const NEAR_MS = 1.5

/** Creates a placement that knows no load yet. `draw` returns a random number in [0, 1). */
export function createPlacement (draw: () => number): Placement {
  const hosts = new Map<string, HostLoad>()

  function getHost (host: string): HostLoad {
    let found = hosts.get(host)
    if (found === undefined) {
      const zero = 0 as Milliseconds
      found = {
        inFlight: 0,
        othersLoad: 0,
        reportedAt: zero,
        slots: 0,
        serviceMs: 0,
        failureShare: 0,
        fetchMs: 0,
        avoidUntil: zero
      }
      hosts.set(host, found)
    }
    return found
  }

  function computeCost (candidate: PlacementCandidate, request: PlacementRequest, now: Milliseconds): number {
    const state = getHost(candidate.host)
    const age = now - state.reportedAt
    const freshness = Math.max(0, 1 - age / REPORT_LIFETIME_MS)
    const judgement = Math.max(0, 1 - age / JUDGEMENT_LIFETIME_MS)
    const assumed = request.targetLatencyMs * ASSUMED_SHARE_OF_TARGET
    const serviceMs = state.serviceMs > 0 ? assumed + (state.serviceMs - assumed) * judgement : assumed
    const isSlotsKnown = freshness > 0 && state.slots > 0
    const slots = Math.max(1, isSlotsKnown ? Math.min(candidate.slots, state.slots) : candidate.slots)
    const load = state.inFlight + state.othersLoad * freshness
    const waitMs = Math.max(0, load + 1 - slots) / slots * serviceMs
    const use = Math.min(1, load / slots)
    const failureMs = state.failureShare * judgement * request.targetLatencyMs * 2
    const fetchMs = request.hasLargeBody ? state.fetchMs * freshness : 0
    return waitMs + fetchMs + serviceMs * (1 + FULL_SLOWDOWN * use * use) + failureMs + candidate.distanceMs
  }

  /**
   * Some hosts near by and one of all: with many hosts each node hears of a host so seldom that the one that seems best
   * is the same for all of them, and would get all their requests.
   */
  function drawSample (candidates: readonly PlacementCandidate[]): PlacementCandidate[] {
    const nearest = Math.min(...candidates.map(({ distanceMs }) => distanceMs))
    const near = candidates.filter(({ distanceMs }) => distanceMs <= nearest + NEAR_MS)
    const drawOf = (list: readonly PlacementCandidate[]): PlacementCandidate[] =>
      list.slice(Math.floor(draw() * list.length)).slice(0, 1)
    return [...Array.from({ length: NEAR_SAMPLES }, () => drawOf(near)).flat(), ...drawOf(candidates)]
  }

  function recordLoad (host: string, load: ReportedLoad, now: Milliseconds): void {
    const state = getHost(host)
    state.othersLoad = Math.max(0, load.load - state.inFlight)
    state.reportedAt = now
    state.slots = load.slots
    state.serviceMs = load.serviceMs
    state.failureShare = load.failureShare
    state.fetchMs = load.fetchMs
  }

  return {
    choose: (candidates, request, now) => {
      const open = candidates.filter(({ host }) => getHost(host).avoidUntil <= now)
      const from = open.length > 0 ? open : candidates
      if (draw() < EXPLORE_SHARE) return from[Math.floor(draw() * from.length)]
      let best: PlacementCandidate | undefined
      let bestCost = Infinity
      for (const candidate of from.length > MAX_COMPARED ? drawSample(from) : from) {
        const cost = computeCost(candidate, request, now) * (1 + NOISE_SHARE * draw())
        if (cost < bestCost) {
          best = candidate
          bestCost = cost
        }
      }
      return best
    },
    recordSend: (host) => { getHost(host).inFlight += 1 },
    recordEnd: (host, load, now) => {
      const state = getHost(host)
      state.inFlight = Math.max(0, state.inFlight - 1)
      if (load !== undefined) recordLoad(host, load, now)
    },
    recordLoad,
    avoid: (host, durationMs, now) => {
      const state = getHost(host)
      state.avoidUntil = Math.max(state.avoidUntil, now + durationMs) as Milliseconds
    },
    computeCost
  }
}
