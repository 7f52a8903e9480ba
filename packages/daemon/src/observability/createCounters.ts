import type {
  CloseReason, RefusalReason, RetryReason, RetryStopReason, ServingLossReason, ServingRefusalReason
} from '@snipenotch/contracts'
import { build, type Histogram } from 'hdr-histogram-js'

/** Names of counters with the label that tells their reasons apart. */
export interface CounterLabels {
  refusals: RefusalReason
  retries: RetryReason
  retry_stops: RetryStopReason
  peer_closes: CloseReason
  configurations: 'applied' | 'rejected' | 'conflicting'
  store_calls: 'ok' | 'unavailable' | 'conflict'
  control_bytes: 'sent' | 'received'
  requests: 'entry' | 'home' | 'completed' | 'cancelled'
  /** Requests that a node beside a backend server did not send to one. */
  serving_refusals: ServingRefusalReason
  /** Tries whose outcome is unknown or whose answer cannot be used. */
  serving_losses: ServingLossReason
  /** Tries sent again to another backend server. */
  serving_resends: 'not-run' | 'failed' | 'lost' | 'budget-spent'
  /** Requests by how they ended at the node that their caller is connected to. */
  serving_requests: 'received' | 'answered' | 'failed' | 'refused' | 'left' | 'cut'
  /** Log lines left out to bound the volume. */
  log_lines: 'omitted'
  /** Rollout steps by their kind. */
  rollouts: string
}

export type CounterName = keyof CounterLabels

/**
 * Latency histograms: the whole time at the entry node, the wait for a slot, the time until a started request has a
 * connection, the backend server's own time, the time in which a request's body arrives, the way to another node and
 * back, and the delay of the event loop.
 */
export type HistogramName = 'request' | 'queue' | 'dispatch' | 'backend' | 'body' | 'transit' | 'loop'

export interface Counters {
  readonly count: <Name extends CounterName>(name: Name, label: CounterLabels[Name], amount?: number) => void
  readonly read: <Name extends CounterName>(name: Name, label: CounterLabels[Name]) => number
  /** Records a latency in milliseconds. */
  readonly record: (name: HistogramName, duration: number) => void
  /** Latency in milliseconds that `quantile` (0 to 1) of the recorded ones do not exceed; 0 without any. */
  readonly readQuantile: (name: HistogramName, quantile: number) => number
  /** Prometheus text format. */
  readonly format: () => string
}

const QUANTILES = [50, 90, 99, 99.9] as const

/** Greatest latency that a histogram tells apart, in microseconds. */
const MAX_LATENCY_US = 3_600_000_000

/** Creates the counters and latency histograms of a daemon. */
export function createCounters (): Counters {
  /** Values by name and label; nested, so that counting builds no key. */
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
