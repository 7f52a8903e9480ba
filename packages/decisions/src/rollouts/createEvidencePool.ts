import type { Evidence, Milliseconds } from '@snipenotch/contracts'
import { sumCounts } from './Counts.js'
import { SETTLE_MS } from './decideRollout.js'
import type { EvidenceWindows, RolloutEvidence } from './RolloutDecision.js'

const MINUTE_MS = 60_000

/** Reach of the window that shows a sudden fault soonest, in milliseconds. */
const SECONDS_MS = 10_000

/** Evidence is kept in buckets of this length, in milliseconds. */
const BUCKET_MS = 1000

/** Pools the evidence of one rollout over the windows that decisions rest on. */
export interface EvidencePool {
  readonly pooledSince: Milliseconds
  /** When the step in force was first seen. */
  readonly stepSeenAt: () => Milliseconds
  /** Starts the evidence of a new step; what arrives before the shares have settled does not count for it. */
  readonly beginStep: (now: Milliseconds) => void
  readonly add: (dataCentre: string, evidence: readonly Evidence[], now: Milliseconds) => void
  readonly read: (now: Milliseconds) => EvidenceWindows
  /** Data centres that have sent evidence within the last minute. */
  readonly listDataCentres: (now: Milliseconds) => string[]
}

type Cells = Map<string, RolloutEvidence>

function addTo (cells: Cells, part: RolloutEvidence): void {
  const key = `${part.dataCentre}/${part.version}/${part.route}`
  const known = cells.get(key)
  cells.set(key, known === undefined ? part : { ...part, ...sumCounts([known, part]) })
}

/** Creates an empty pool whose step in force is first seen now. */
export function createEvidencePool (now: Milliseconds): EvidencePool {
  let stepSeenAt = now
  let sinceStep: Cells = new Map()
  const sinceStart: Cells = new Map()
  let buckets: Array<{ readonly at: number, readonly cells: Cells }> = []

  function getBucket (time: Milliseconds): Cells {
    const at = Math.floor(time / BUCKET_MS) * BUCKET_MS
    const last = buckets.at(-1)
    if (last?.at === at) return last.cells
    buckets = buckets.filter((bucket) => bucket.at > time - MINUTE_MS)
    const cells: Cells = new Map()
    buckets.push({ at, cells })
    return cells
  }

  function listSince (start: number): RolloutEvidence[] {
    const cells: Cells = new Map()
    for (const bucket of buckets) if (bucket.at >= start) for (const part of bucket.cells.values()) addTo(cells, part)
    return [...cells.values()]
  }

  return {
    pooledSince: now,
    stepSeenAt: () => stepSeenAt,
    beginStep: (time) => {
      stepSeenAt = time
      sinceStep = new Map()
    },
    add: (dataCentre, evidence, time) => {
      const bucket = getBucket(time)
      for (const part of evidence) {
        const located = { ...part, dataCentre }
        addTo(bucket, located)
        addTo(sinceStart, located)
        if (time - stepSeenAt >= SETTLE_MS) addTo(sinceStep, located)
      }
    },
    read: (time) => ({
      sinceStep: [...sinceStep.values()],
      lastMinute: listSince(time - MINUTE_MS),
      lastSeconds: listSince(time - SECONDS_MS),
      sinceStart: [...sinceStart.values()]
    }),
    listDataCentres: (time) => [...new Set(listSince(time - MINUTE_MS).map(({ dataCentre }) => dataCentre))]
  }
}
