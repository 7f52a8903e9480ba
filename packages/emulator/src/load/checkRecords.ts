import type { Run } from '@snipenotch/stand-ins'
import type { CallerRecord } from './CallerRecord.js'

/** A violated guarantee of the mesh, found by comparing callers' records with the runs of the backend servers. */
export interface Violation {
  readonly kind: 'key-ran-twice' | 'false-not-run' | 'ran-without-run' | 'crossed-answer' | 'truncated-accepted' | 'upload-differs'
  readonly guarantee: 'P7' | 'P8' | 'P9'
  readonly detail: string
}

function collectGroups<Item> (items: readonly Item[], key: (item: Item) => string | undefined): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const groupKey = key(item)
    if (groupKey === undefined) continue
    const group = groups.get(groupKey)
    if (group === undefined) groups.set(groupKey, [item])
    else group.push(item)
  }
  return groups
}

function describeRuns (runs: readonly Run[]): string {
  return runs.map(({ id, outcome }) => `${id} ${outcome}`).join(', ')
}

function checkKeys (byKey: ReadonlyMap<string, readonly Run[]>): Violation[] {
  return [...byKey].filter(([, runs]) => runs.length > 1).map(([key, runs]) =>
    ({ kind: 'key-ran-twice', guarantee: 'P9', detail: `key ${key} ran ${runs.length} times: ${describeRuns(runs)}` }))
}

function checkBody (record: CallerRecord): Violation[] {
  const detail = `request ${record.id} (${record.kind}, nonce ${record.nonce}) through ${record.node}`
  switch (record.body) {
    case 'crossed': return [{ kind: 'crossed-answer', guarantee: 'P7', detail }]
    case 'accepted-short': return [{ kind: 'truncated-accepted', guarantee: 'P7', detail }]
    case 'upload-differs': return [{ kind: 'upload-differs', guarantee: 'P7', detail }]
    case 'whole':
    case 'truncated':
    case 'none': return []
  }
}

/**
 * Matches callers' records with the runs of all backend servers and lists the violations. Attempts with a key are
 * matched by key, because the response to a duplicate may come from the run of the first attempt; all others are
 * matched by nonce. The outcome `not-run` for an attempt with a key is false if any attempt with the key ran, because
 * that outcome invalidates the key.
 */
export function checkRecords (records: readonly CallerRecord[], runs: readonly Run[]): Violation[] {
  const byKey = collectGroups(runs, ({ key }) => key)
  const byNonce = collectGroups(runs, ({ nonce }) => nonce)
  const violations = checkKeys(byKey)
  for (const record of records) {
    violations.push(...checkBody(record))
    const matchingRuns = record.key === undefined ? byNonce.get(record.nonce) ?? [] : byKey.get(record.key) ?? []
    const subject = `request ${record.id} (${record.kind}) through ${record.node}, ${record.reason ?? 'no reason'}`
    if (record.outcome === 'not-run' && matchingRuns.length > 0) {
      violations.push({ kind: 'false-not-run', guarantee: 'P8', detail: `${subject}: ${describeRuns(matchingRuns)}` })
    }
    const isAnswered = record.outcome === 'ran' || record.body === 'whole'
    if (isAnswered && matchingRuns.length === 0) {
      violations.push({ kind: 'ran-without-run', guarantee: 'P7', detail: `${subject}: no backend server ran it` })
    }
  }
  return violations
}
