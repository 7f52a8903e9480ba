import type { Evidence } from '@snipenotch/contracts'
import { MAX_EVIDENCE_ROWS } from './controlLimits.js'

export interface EvidencePool {
  readonly add: (evidence: readonly Evidence[]) => void
  /** Returns and clears the sums. */
  readonly take: () => Evidence[]
}

/** Creates a pool that adds up evidence by service, version and route; at most `MAX_EVIDENCE_ROWS` rows at a time. */
export function createEvidencePool (): EvidencePool {
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
