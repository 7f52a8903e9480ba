import type { Evidence } from '@snipenotch/contracts'
import { MAX_EVIDENCE_ROWS } from './controlLimits.js'

/** Sums of request statistics since the last `take`. */
export interface EvidenceAccumulator {
  readonly add: (evidence: readonly Evidence[]) => void
  /** Returns and clears the sums. */
  readonly take: () => Evidence[]
}

/**
 * Creates an accumulator that sums evidence by service, version and route. It holds at most `MAX_EVIDENCE_ROWS` rows;
 * evidence for further keys is dropped until the next `take`.
 */
export function createEvidenceAccumulator (): EvidenceAccumulator {
  let rows = new Map<string, Evidence>()
  return {
    add: (evidence) => {
      for (const row of evidence) {
        const key = `${row.service}/${row.version}/${row.route}`
        const known = rows.get(key)
        if (known === undefined && rows.size >= MAX_EVIDENCE_ROWS) continue
        rows.set(key, known === undefined
          ? row
          : {
              ...row,
              requests: known.requests + row.requests,
              failures: known.failures + row.failures,
              latencySum: known.latencySum + row.latencySum,
              slow: known.slow + row.slow
            })
      }
    },
    take: () => {
      const taken = [...rows.values()]
      rows = new Map()
      return taken
    }
  }
}
