import type { Endpoint, Milliseconds } from '@snipenotch/contracts'
import { BalancingPolicy, filterExcluded } from './BalancingPolicy.js'
import type { CandidateSet } from './CandidateSet.js'
import { computeFailures, type HostLoads } from './createHostLoads.js'

/** Age at which a load report or a latency no longer counts; hosts change within seconds. */
const REPORT_LIFETIME_MS = 2000
const LATENCY_LIFETIME_MS = 10_000
/** Latency assumed for a host without recent samples. */
const ASSUMED_LATENCY_MS = 5
/** Keeps hosts that answer in a fraction of a millisecond comparable by their load. */
const LATENCY_FLOOR_MS = 0.5
/** Factor on the latency of a host for each recent connection failure. */
const FAILURE_FACTOR = 8
/** A local host this many times slower than a remote one is much slower, beyond the usual distance of data centres. */
const SPILL_FACTOR = 4
/** Extra latency of leaving the data centre, so that small local delays don't cause spilling. */
const SPILL_MARGIN_MS = 3

/** Power of two choices by estimated cost, in the own data centre unless it is saturated or much slower. */
export class LeastLoadedPolicy extends BalancingPolicy {
  readonly #loads: HostLoads
  readonly #draw: () => number

  constructor (loads: HostLoads, draw: () => number) {
    super()
    this.#loads = loads
    this.#draw = draw
  }

  override choose (candidates: CandidateSet, excluded: readonly string[], now: Milliseconds): Endpoint | undefined {
    const local = this.#chooseOfTwo(filterExcluded(candidates.local, excluded), now)
    const remotes = filterExcluded(candidates.remote, excluded)
    if (local === undefined || remotes.length === 0) return local ?? this.#chooseOfTwo(remotes, now)
    const remote = this.#chooseOfTwo(remotes, now)
    return remote !== undefined && this.#isSpillBetter(local, remote, now) ? remote : local
  }

  /** Share of the host's warm slots that one more request would fill; above 1 it would have to wait. */
  computeUtilisation (endpoint: Endpoint, now: Milliseconds): number {
    const load = this.#loads.get(endpoint)
    const freshness = Math.max(0, 1 - (now - load.reportedAt) / REPORT_LIFETIME_MS)
    const slots = Math.max(1, endpoint.warmSlots)
    const limit = freshness > 0 && load.reportedLimit > 0 ? Math.min(slots, load.reportedLimit) : slots
    return (load.inFlight + load.reportedByOthers * freshness + 1) / limit
  }

  /** Estimated time to the answer in milliseconds, weighted by load and recent failures. */
  computeCost (endpoint: Endpoint, now: Milliseconds): number {
    return this.#computeLatency(endpoint, now) * this.computeUtilisation(endpoint, now)
  }

  /** Recent latency in milliseconds, raised by recent connection failures. */
  #computeLatency (endpoint: Endpoint, now: Milliseconds): number {
    const load = this.#loads.get(endpoint)
    const isKnown = now - load.latencyAt < LATENCY_LIFETIME_MS
    const latency = LATENCY_FLOOR_MS + (isKnown ? load.latency : ASSUMED_LATENCY_MS)
    return latency * (1 + FAILURE_FACTOR * computeFailures(load, now))
  }

  #chooseOfTwo (endpoints: readonly Endpoint[], now: Milliseconds): Endpoint | undefined {
    if (endpoints.length < 2) return endpoints[0]
    const first = Math.floor(this.#draw() * endpoints.length)
    const offset = 1 + Math.floor(this.#draw() * (endpoints.length - 1))
    const left = endpoints[first]
    const right = endpoints[(first + offset) % endpoints.length]
    if (left === undefined || right === undefined) return left ?? right
    return this.computeCost(right, now) < this.computeCost(left, now) ? right : left
  }

  #isSpillBetter (local: Endpoint, remote: Endpoint, now: Milliseconds): boolean {
    const isSaturated = this.computeUtilisation(local, now) > 1
    if (isSaturated) return this.computeUtilisation(remote, now) <= 1
    // Load is left out: a busy local host with a free slot still answers sooner than an idle one far away.
    return this.#computeLatency(local, now) > SPILL_FACTOR * this.#computeLatency(remote, now) + SPILL_MARGIN_MS
  }
}
