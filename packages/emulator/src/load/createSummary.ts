import { build, type Histogram } from 'hdr-histogram-js'
import { REQUEST_KINDS, type CallerRecord, type RequestKind } from './CallerRecord.js'

const MAX_LATENCY_US = 3_600_000_000
const QUANTILES = [50, 99, 99.9] as const

/** Counts and latencies of one kind of request, in milliseconds. Only whole responses count for the latencies. */
export interface KindSummary {
  readonly kind: RequestKind
  /** Number of attempts. */
  readonly sent: number
  /** Number of attempts with a whole response. */
  readonly whole: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

/** Summary of all attempts of a load run. */
export interface LoadSummary {
  readonly requests: number
  /** Number of attempts by response, described as `status outcome reason`. */
  readonly responseCounts: Readonly<Record<string, number>>
  readonly kinds: readonly KindSummary[]
}

function buildHistogram (records: readonly CallerRecord[]): Histogram {
  const histogram = build({
    lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_US, numberOfSignificantValueDigits: 3
  })
  for (const { durationMs, body } of records) {
    if (body === 'whole') histogram.recordValue(Math.max(1, Math.round(durationMs * 1000)))
  }
  return histogram
}

function describeResponse ({ status, outcome, reason, disconnected }: CallerRecord): string {
  if (disconnected) return 'caller disconnected'
  return [status === 0 ? 'connection failed' : String(status), outcome, reason].filter(Boolean).join(' ')
}

/** Summarizes records by kind of request and by response. */
export function createSummary (records: readonly CallerRecord[]): LoadSummary {
  const responseCounts: Record<string, number> = {}
  for (const record of records) {
    const name = describeResponse(record)
    responseCounts[name] = (responseCounts[name] ?? 0) + 1
  }
  const kinds = REQUEST_KINDS.map((kind) => {
    const recordsOfKind = records.filter((record) => record.kind === kind)
    const histogram = buildHistogram(recordsOfKind)
    const [p50 = 0, p99 = 0, p999 = 0] = QUANTILES.map((quantile) => histogram.getValueAtPercentile(quantile) / 1000)
    return { kind, sent: recordsOfKind.length, whole: histogram.totalCount, p50, p99, p999 }
  })
  return { requests: records.length, responseCounts, kinds }
}

/** Formats a summary as lines of text. */
export function formatSummary ({ requests, responseCounts, kinds }: LoadSummary): string {
  const lines = [`requests: ${requests}`]
  for (const { kind, sent, whole, p50, p99, p999 } of kinds) {
    lines.push(`  ${kind}: ${sent} sent, ${whole} whole answers, ms p50 ${p50} p99 ${p99} p99.9 ${p999}`)
  }
  for (const [name, count] of Object.entries(responseCounts).sort(([, left], [, right]) => right - left)) {
    lines.push(`  ${count} x ${name}`)
  }
  return lines.join('\n')
}
