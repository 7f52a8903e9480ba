import type {
  CloseReason, InstanceLoadFault, RefusalReason, RetryReason, RetryStopReason, ServingLossReason, ServingRefusalReason
} from '@snipenotch/contracts'
import { build, type Histogram } from 'hdr-histogram-js'

/** Label values of each counter. */
export interface CounterLabels {
  refusals: RefusalReason
  retries: RetryReason
  retry_stops: RetryStopReason
  peer_closes: CloseReason
  configurations: 'applied' | 'rejected' | 'conflicting'
  store_calls: 'ok' | 'unavailable' | 'conflict'
  /** Calls by which a node verified its copy of a table with the store, by what they showed. */
  copy_verifications: 'current' | 'outdated' | 'failed'
  control_bytes: 'sent' | 'received'
  requests: 'entry' | 'home' | 'completed' | 'cancelled'
  /** Requests that a node with a backend server did not send to one. */
  serving_refusals: ServingRefusalReason
  /** Attempts whose outcome is unknown or whose response cannot be used. */
  serving_losses: ServingLossReason
  /** Retries on another backend server. */
  serving_resends: 'not-run' | 'failed' | 'lost' | 'budget-spent'
  /** Requests by result at the node that their caller is connected to. */
  serving_requests: 'received' | 'answered' | 'failed' | 'refused' | 'left' | 'cut'
  /**
   * Connections of callers that a node closed without an open request, at its stop or unused for the keep-alive
   * timeout, and those that ended with its process although their callers may not have had their response.
   */
  caller_closes: 'idle' | 'timeout' | 'abandoned'
  /** Requests refused on arrival because a service that their runs call is short of capacity. */
  backpressure: 'refused'
  /** Connections of any listener that a node closed because of what their clients made it hold. */
  connection_closes: 'over-budget' | 'stalled' | 'evicted'
  /** Loads that the backend server stated in its responses. */
  instance_loads: 'used' | InstanceLoadFault
  /** Usage reports by result of the call; `late` counts accepted ones that were due before. */
  usage_reports: 'accepted' | 'late' | 'refused' | 'failed'
  /** Changes of this node's part in the usage reports. */
  duties: 'acquired' | 'lost'
  /** Errors thrown while a node handled something: contained there, or outside any handling. */
  internal_errors: 'contained' | 'uncaught'
  /** Log lines omitted to limit the log volume. */
  log_lines: 'omitted'
  /** Requests sent to a version under rollout: drawn for it, or sent there because no other host was left. */
  rollout_sends: 'drawn' | 'undrawn'
  /** Rollout steps by kind. */
  rollouts: string
}

/** Name of a counter. */
export type CounterName = keyof CounterLabels

/**
 * Latency histograms: `request`, total time at the entry node; `queue`, wait for a slot; `dispatch`, time until a
 * started request has a connection; `backend`, time of the backend server; `body`, time to receive a request body;
 * `transit`, round trip to another node; `loop`, event loop delay.
 */
export type HistogramName = 'request' | 'queue' | 'dispatch' | 'backend' | 'body' | 'transit' | 'loop'

/** Counters and latency histograms. */
export interface Counters {
  /** Increments a counter by `amount`, 1 by default. */
  readonly count: <Name extends CounterName>(name: Name, label: CounterLabels[Name], amount?: number) => void
  /** Returns the value of a counter. */
  readonly read: <Name extends CounterName>(name: Name, label: CounterLabels[Name]) => number
  /** Records a latency in milliseconds. */
  readonly record: (name: HistogramName, duration: number) => void
  /** Returns the latency in milliseconds at `quantile` (0 to 1); 0 if none has been recorded. */
  readonly readQuantile: (name: HistogramName, quantile: number) => number
  /** Formats all metrics in the Prometheus text format. */
  readonly format: () => string
}

const QUANTILES = [50, 90, 99, 99.9] as const

/** Highest trackable latency of a histogram, in microseconds. */
const MAX_LATENCY_US = 3_600_000_000

/** Creates the counters and latency histograms of a daemon. */
export function createCounters (): Counters {
  /** Values by name and label; nested maps avoid building a key for each increment. */
  const values = new Map<CounterName, Map<string, number>>()
  const histograms = new Map<HistogramName, Histogram>()

  function formatHistogram (name: HistogramName, histogram: Histogram): string[] {
    const metric = `snipenotch_${name}_milliseconds`
    const quantiles = QUANTILES.map((quantile) =>
      `${metric}{quantile="${quantile / 100}"} ${histogram.getValueAtPercentile(quantile) / 1000}`)
    return [`# TYPE ${metric} summary`, ...quantiles, `${metric}_count ${histogram.totalCount}`]
  }

  return {
    count: (name, label, amount = 1) => {
      let labels = values.get(name)
      if (labels === undefined) values.set(name, labels = new Map<string, number>())
      labels.set(label, (labels.get(label) ?? 0) + amount)
    },
    read: (name, label) => values.get(name)?.get(label) ?? 0,
    record: (name, duration) => {
      let histogram = histograms.get(name)
      if (histogram === undefined) {
        histogram = build({
          lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 2
        })
        histograms.set(name, histogram)
      }
      histogram.recordValue(Math.min(MAX_LATENCY_US, Math.max(1, Math.round(duration * 1000))))
    },
    readQuantile: (name, quantile) => (histograms.get(name)?.getValueAtPercentile(quantile * 100) ?? 0) / 1000,
    format: () => {
      const lines = [...values].flatMap(([name, labels]) =>
        [...labels].map(([label, value]) => `snipenotch_${name}_total{reason="${label}"} ${value}`)).sort()
      for (const [name, histogram] of histograms) lines.push(...formatHistogram(name, histogram))
      return lines.join('\n') + '\n'
    }
  }
}
