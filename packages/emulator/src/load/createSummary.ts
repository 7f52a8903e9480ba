import { build, type Histogram } from 'hdr-histogram-js'
import { REQUEST_KINDS, type CallerRecord, type RequestKind } from './CallerRecord.js'

const MAX_LATENCY_US = 3_600_000_000
const QUANTILES = [50, 99, 99.9] as const

/** Latencies of one kind of request in milliseconds; only whole answers are counted. */
export interface KindSummary {
  readonly kind: RequestKind
  readonly sent: number
  readonly whole: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

export interface LoadSummary {
  readonly requests: number
  /** Counts by `status outcome reason`. */
  readonly told: Readonly<Record<string, number>>
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

function describeTold ({ status, outcome, reason, disconnected }: CallerRecord): string {
  if (disconnected) return 'caller disconnected'
  return [status === 0 ? 'connection failed' : String(status), outcome, reason].filter(Boolean).join(' ')
}

/** Sums records up by kind and by what the callers were told. */
export function createSummary (records: readonly CallerRecord[]): LoadSummary {
  const told: Record<string, number> = {}
  for (const record of records) {
    const name = describeTold(record)
    told[name] = (told[name] ?? 0) + 1
  }
  const kinds = REQUEST_KINDS.map((kind) => {
    const own = records.filter((record) => record.kind === kind)
    const histogram = buildHistogram(own)
    const [p50 = 0, p99 = 0, p999 = 0] = QUANTILES.map((quantile) => histogram.getValueAtPercentile(quantile) / 1000)
    return { kind, sent: own.length, whole: histogram.totalCount, p50, p99, p999 }
  })
  return { requests: records.length, told, kinds }
}

/** Lays a summary out in lines of text. */
export function formatSummary ({ requests, told, kinds }: LoadSummary): string {
  const lines = [`requests: ${requests}`]
  for (const { kind, sent, whole, p50, p99, p999 } of kinds) {
    lines.push(`  ${kind}: ${sent} sent, ${whole} whole answers, ms p50 ${p50} p99 ${p99} p99.9 ${p999}`)
  }
  for (const [name, count] of Object.entries(told).sort(([, left], [, right]) => right - left)) {
    lines.push(`  ${count} x ${name}`)
  }
  return lines.join('\n')
}
