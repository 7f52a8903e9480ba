import type { Milliseconds } from '@snipenotch/contracts'

/** Load that a host reported with a response. */
export interface ReportedLoad {
  /** Number of running and waiting requests. */
  readonly load: number
  readonly slots: number
  /** Average service time in milliseconds; 0 if unknown. */
  readonly serviceMs: number
  /** Recent share of failed responses, 0 to 1. */
  readonly failureShare: number
  /** Time until a large body offered now would begin to arrive, in milliseconds. */
  readonly fetchMs: number
  /** Share of the requests of the reported outcome's route to accept, 0 to 1; absent with nodes of earlier builds. */
  readonly admittedShare?: number | undefined
  /** Time until the link of the host has room for another large response, in milliseconds; 0 if unknown. */
  readonly linkMs?: number
}

/** A host that can run a request. */
export interface BalancerCandidate {
  readonly host: string
  readonly slots: number
  /** Additional cost of reaching the host, in milliseconds. */
  readonly distanceMs: number
}

/** Properties of a request that affect the choice of its host. */
export interface BalancerRequest {
  readonly targetLatencyMs: number
  /** True if the body is large, so that the chosen host has to fetch it. */
  readonly hasLargeBody: boolean
  /** True if the response is expected to be large, so that it waits for the link of the chosen host. */
  readonly hasLargeResponse?: boolean
}

/**
 * Chooses the host of each request by estimated latency. Directs requests away from slow, failing and cold backend
 * servers, to other data centres when a burst saturates the nearest one, and uploads away from hosts with a busy link.
 */
export interface LoadBalancer {
  readonly choose: (
    candidates: readonly BalancerCandidate[], request: BalancerRequest, now: Milliseconds
  ) => BalancerCandidate | undefined
  readonly recordSend: (host: string) => void
  /** Records the end of a sent request; `load` is the load that the host reported, if it responded. */
  readonly recordEnd: (host: string, load: ReportedLoad | undefined, now: Milliseconds) => void
  /** Records the current load of a host. */
  readonly recordLoad: (host: string, load: ReportedLoad, now: Milliseconds) => void
  /** Excludes a host that refused a request for `durationMs`, unless no other host is available. */
  readonly avoid: (host: string, durationMs: number, now: Milliseconds) => void
  /** Estimated latency at a host in milliseconds, including its distance and a penalty for failures. */
  readonly computeCost: (candidate: BalancerCandidate, request: BalancerRequest, now: Milliseconds) => number
}

interface HostLoad {
  inFlight: number
  /** Requests from other nodes at the last report. */
  otherNodesLoad: number
  reportedAt: Milliseconds
  slots: number
  serviceMs: number
  failureShare: number
  fetchMs: number
  linkMs: number
  avoidUntil: Milliseconds
}

/**
 * Time over which the load in a report loses its weight, in milliseconds: hosts drain their queues in a few hundred
 * milliseconds.
 */
const REPORT_LIFETIME_MS = 1500
/** Time over which reported slowness and failures lose their weight, in milliseconds; then the host is tried again. */
const PERFORMANCE_LIFETIME_MS = 4000
/** Share of the target latency assumed as the service time of a host without a report. */
const DEFAULT_TARGET_SHARE = 0.3
/** Relative increase of the service time when all slots of a backend server are busy. */
const SATURATION_SLOWDOWN = 0.4
/** Share of requests sent to a random host, so that new and recovered hosts are detected. */
const EXPLORE_SHARE = 0.01
/** Maximum random addition, as a share of the cost, so that nodes with equal data do not all choose the same host. */
const NOISE_SHARE = 0.1

/** Maximum number of candidates that are all compared; above it, a random sample is compared. */
const MAX_COMPARED = 6
/** Number of nearby candidates in the random sample. */
const NEAR_SAMPLES = 2
/** Distance beyond that of the nearest host within which hosts count as nearby, in milliseconds: one data centre. */
const NEAR_MS = 1.5

/** Creates a load balancer without reports. `random` returns a random number in [0, 1). */
export function createLoadBalancer (random: () => number): LoadBalancer {
  const hosts = new Map<string, HostLoad>()

  function getHost (host: string): HostLoad {
    let found = hosts.get(host)
    if (found === undefined) {
      const zero = 0 as Milliseconds
      found = {
        inFlight: 0,
        otherNodesLoad: 0,
        reportedAt: zero,
        slots: 0,
        serviceMs: 0,
        failureShare: 0,
        fetchMs: 0,
        linkMs: 0,
        avoidUntil: zero
      }
      hosts.set(host, found)
    }
    return found
  }

  function computeCost (candidate: BalancerCandidate, request: BalancerRequest, now: Milliseconds): number {
    const state = getHost(candidate.host)
    const age = now - state.reportedAt
    const loadWeight = Math.max(0, 1 - age / REPORT_LIFETIME_MS)
    const performanceWeight = Math.max(0, 1 - age / PERFORMANCE_LIFETIME_MS)
    const assumed = request.targetLatencyMs * DEFAULT_TARGET_SHARE
    const serviceMs = state.serviceMs > 0 ? assumed + (state.serviceMs - assumed) * performanceWeight : assumed
    const isSlotsKnown = loadWeight > 0 && state.slots > 0
    const slots = Math.max(1, isSlotsKnown ? Math.min(candidate.slots, state.slots) : candidate.slots)
    const load = state.inFlight + state.otherNodesLoad * loadWeight
    const waitMs = Math.max(0, load + 1 - slots) / slots * serviceMs
    const utilisation = Math.min(1, load / slots)
    const failureMs = state.failureShare * performanceWeight * request.targetLatencyMs * 2
    const fetchMs = request.hasLargeBody ? state.fetchMs * loadWeight : 0
    const linkMs = request.hasLargeResponse === true ? state.linkMs * loadWeight : 0
    return waitMs + fetchMs + linkMs + serviceMs * (1 + SATURATION_SLOWDOWN * utilisation * utilisation) + failureMs +
      candidate.distanceMs
  }

  /**
   * Draws some nearby hosts and one of all hosts. With many hosts, reports from each host are so infrequent that all
   * nodes would see the same host as the best one and send it all their requests.
   */
  function drawSample (candidates: readonly BalancerCandidate[]): BalancerCandidate[] {
    const nearest = Math.min(...candidates.map(({ distanceMs }) => distanceMs))
    const near = candidates.filter(({ distanceMs }) => distanceMs <= nearest + NEAR_MS)
    const drawOne = (list: readonly BalancerCandidate[]): BalancerCandidate[] =>
      list.slice(Math.floor(random() * list.length)).slice(0, 1)
    return [...Array.from({ length: NEAR_SAMPLES }, () => drawOne(near)).flat(), ...drawOne(candidates)]
  }

  function recordLoad (host: string, load: ReportedLoad, now: Milliseconds): void {
    const state = getHost(host)
    state.otherNodesLoad = Math.max(0, load.load - state.inFlight)
    state.reportedAt = now
    state.slots = load.slots
    state.serviceMs = load.serviceMs
    state.failureShare = load.failureShare
    state.fetchMs = load.fetchMs
    state.linkMs = load.linkMs ?? 0
  }

  return {
    choose: (candidates, request, now) => {
      const available = candidates.filter(({ host }) => getHost(host).avoidUntil <= now)
      const eligible = available.length > 0 ? available : candidates
      if (random() < EXPLORE_SHARE) return eligible[Math.floor(random() * eligible.length)]
      let best: BalancerCandidate | undefined
      let bestCost = Infinity
      for (const candidate of eligible.length > MAX_COMPARED ? drawSample(eligible) : eligible) {
        const cost = computeCost(candidate, request, now) * (1 + NOISE_SHARE * random())
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
