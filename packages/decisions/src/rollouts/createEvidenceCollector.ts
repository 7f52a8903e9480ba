import type { Evidence, Milliseconds } from '@snipenotch/contracts'
import { sumCounts } from './Counts.js'
import { STEP_PROPAGATION_MS } from './decideRollout.js'
import type { EvidenceWindows, RolloutEvidence } from './RolloutDecision.js'

const MINUTE_MS = 60_000

/** Length of the shortest window, in which a sudden fault shows first, in milliseconds. */
const SHORT_WINDOW_MS = 10_000

/** Length of the buckets in which evidence is stored, in milliseconds. */
const BUCKET_MS = 1000

/** Collects the evidence of one rollout over the time windows that decisions are based on. */
export interface EvidenceCollector {
  /** When the collector was created. */
  readonly collectingSince: Milliseconds
  /** When the current step was first seen. */
  readonly stepSeenAt: () => Milliseconds
  /** Resets the evidence since the last step; what arrives within `STEP_PROPAGATION_MS` is not included in it. */
  readonly beginStep: (now: Milliseconds) => void
  readonly add: (dataCentre: string, evidence: readonly Evidence[], now: Milliseconds) => void
  /** Returns the evidence of all windows. */
  readonly read: (now: Milliseconds) => EvidenceWindows
  /** Data centres that have sent evidence within the last minute. */
  readonly listDataCentres: (now: Milliseconds) => string[]
}

type EvidenceByKey = Map<string, RolloutEvidence>

function addRow (evidenceByKey: EvidenceByKey, row: RolloutEvidence): void {
  const key = `${row.dataCentre}/${row.version}/${row.route}`
  const known = evidenceByKey.get(key)
  evidenceByKey.set(key, known === undefined ? row : { ...row, ...sumCounts([known, row]) })
}

/** Creates a collector without evidence; `now` is when the current step was first seen. */
export function createEvidenceCollector (now: Milliseconds): EvidenceCollector {
  let stepSeenAt = now
  let sinceStep: EvidenceByKey = new Map()
  const sinceStart: EvidenceByKey = new Map()
  let buckets: Array<{ readonly at: number, readonly evidence: EvidenceByKey }> = []

  function getBucket (time: Milliseconds): EvidenceByKey {
    const at = Math.floor(time / BUCKET_MS) * BUCKET_MS
    const last = buckets.at(-1)
    if (last?.at === at) return last.evidence
    buckets = buckets.filter((bucket) => bucket.at > time - MINUTE_MS)
    const evidence: EvidenceByKey = new Map()
    buckets.push({ at, evidence })
    return evidence
  }

  function listSince (start: number): RolloutEvidence[] {
    const sums: EvidenceByKey = new Map()
    for (const bucket of buckets) if (bucket.at >= start) for (const row of bucket.evidence.values()) addRow(sums, row)
    return [...sums.values()]
  }

  return {
    collectingSince: now,
    stepSeenAt: () => stepSeenAt,
    beginStep: (time) => {
      stepSeenAt = time
      sinceStep = new Map()
    },
    add: (dataCentre, evidence, time) => {
      const bucket = getBucket(time)
      for (const row of evidence) {
        const located = { ...row, dataCentre }
        addRow(bucket, located)
        addRow(sinceStart, located)
        if (time - stepSeenAt >= STEP_PROPAGATION_MS) addRow(sinceStep, located)
      }
    },
    read: (time) => ({
      sinceStep: [...sinceStep.values()],
      lastMinute: listSince(time - MINUTE_MS),
      lastSeconds: listSince(time - SHORT_WINDOW_MS),
      sinceStart: [...sinceStart.values()]
    }),
    listDataCentres: (time) => [...new Set(listSince(time - MINUTE_MS).map(({ dataCentre }) => dataCentre))]
  }
}
