import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import { BalancingPolicy, filterExcluded } from './BalancingPolicy.js'
import type { CandidateSet } from './CandidateSet.js'
import { computeFailures, type HostLoads } from './createHostLoads.js'

/** Ages at which a load report and a latency sample no longer count; the load of a host changes within seconds. */
const REPORT_LIFETIME_MS = 2000
const LATENCY_LIFETIME_MS = 10_000
/** Latency assumed for a host without recent samples. */
const ASSUMED_LATENCY_MS = 5
/** Added to each latency, so that hosts that respond in a fraction of a millisecond are still compared by load. */
const LATENCY_FLOOR_MS = 0.5
/** Relative increase of a host's latency per recent connection failure. */
const FAILURE_FACTOR = 8
/**
 * Factor by which a local host must be slower than a remote one to spill over; above the usual latency between data
 * centres.
 */
const SPILLOVER_LATENCY_FACTOR = 4
/** Latency margin for leaving the data centre, so that small local delays do not cause spillover. */
const SPILLOVER_MARGIN_MS = 3

/**
 * Power-of-two-choices load balancing by estimated cost. Stays in the local data centre unless its chosen host is
 * saturated or much slower than a remote one.
 */
export class LeastLoadedPolicy extends BalancingPolicy {
  readonly #loads: HostLoads
  readonly #random: () => number

  constructor (loads: HostLoads, random: () => number) {
    super()
    this.#loads = loads
    this.#random = random
  }

  override choose (candidates: CandidateSet, excluded: readonly string[], now: Milliseconds): Endpoint | undefined {
    const local = this.#chooseOfTwo(filterExcluded(candidates.local, excluded), now)
    const remotes = filterExcluded(candidates.remote, excluded)
    if (local === undefined || remotes.length === 0) return local ?? this.#chooseOfTwo(remotes, now)
    const remote = this.#chooseOfTwo(remotes, now)
    return remote !== undefined && this.#isSpilloverBetter(local, remote, now) ? remote : local
  }

  /** Utilisation of the host's warm slots with one more request; above 1 the request would have to wait. */
  computeUtilisation (endpoint: Endpoint, now: Milliseconds): number {
    const load = this.#loads.get(endpoint)
    const reportWeight = Math.max(0, 1 - (now - load.reportedAt) / REPORT_LIFETIME_MS)
    const slots = Math.max(1, endpoint.warmSlots)
    const limit = reportWeight > 0 && load.reportedLimit > 0 ? Math.min(slots, load.reportedLimit) : slots
    return (load.inFlight + load.reportedByOthers * reportWeight + 1) / limit
  }

  /** Estimated time to the response in milliseconds, weighted by load and recent failures. */
  computeCost (endpoint: Endpoint, now: Milliseconds): number {
    return this.#computeLatency(endpoint, now) * this.computeUtilisation(endpoint, now)
  }

  /** Recent latency in milliseconds, increased by recent connection failures. */
  #computeLatency (endpoint: Endpoint, now: Milliseconds): number {
    const load = this.#loads.get(endpoint)
    const isKnown = now - load.latencyAt < LATENCY_LIFETIME_MS
    const latency = LATENCY_FLOOR_MS + (isKnown ? load.latency : ASSUMED_LATENCY_MS)
    return latency * (1 + FAILURE_FACTOR * computeFailures(load, now))
  }

  #chooseOfTwo (endpoints: readonly Endpoint[], now: Milliseconds): Endpoint | undefined {
    if (endpoints.length < 2) return endpoints[0]
    const first = Math.floor(this.#random() * endpoints.length)
    const offset = 1 + Math.floor(this.#random() * (endpoints.length - 1))
    const left = endpoints[first]
    const right = endpoints[(first + offset) % endpoints.length]
    if (left === undefined || right === undefined) return left ?? right
    return this.computeCost(right, now) < this.computeCost(left, now) ? right : left
  }

  #isSpilloverBetter (local: Endpoint, remote: Endpoint, now: Milliseconds): boolean {
    const isSaturated = this.computeUtilisation(local, now) > 1
    if (isSaturated) return this.computeUtilisation(remote, now) <= 1
    // Load is ignored: a busy local host with a free slot still responds sooner than an idle remote one.
    return this.#computeLatency(local, now) >
      SPILLOVER_LATENCY_FACTOR * this.#computeLatency(remote, now) + SPILLOVER_MARGIN_MS
  }
}
