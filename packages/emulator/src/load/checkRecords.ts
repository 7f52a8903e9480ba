import type { Run } from '@snipenotch/stand-ins'
import type { CallerRecord } from './CallerRecord.js'

/** A broken promise, found by comparing what callers were told with what backend servers ran. */
export interface Violation {
  readonly kind: 'key-ran-twice' | 'false-not-run' | 'ran-without-run' | 'crossed-answer' | 'truncated-accepted' | 'upload-differs'
  readonly promise: 'P7' | 'P8' | 'P9'
  readonly detail: string
}

function collectBy<Item> (items: readonly Item[], key: (item: Item) => string | undefined): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const name = key(item)
    if (name === undefined) continue
    const group = groups.get(name)
    if (group === undefined) groups.set(name, [item])
    else group.push(item)
  }
  return groups
}

function describeRuns (runs: readonly Run[]): string {
  return runs.map(({ id, outcome }) => `${id} ${outcome}`).join(', ')
}

function checkKeys (byKey: ReadonlyMap<string, readonly Run[]>): Violation[] {
  return [...byKey].filter(([, runs]) => runs.length > 1).map(([key, runs]) =>
    ({ kind: 'key-ran-twice', promise: 'P9', detail: `key ${key} ran ${runs.length} times: ${describeRuns(runs)}` }))
}

function checkBody (record: CallerRecord): Violation[] {
  const detail = `request ${record.id} (${record.kind}, nonce ${record.nonce}) through ${record.node}`
  switch (record.body) {
    case 'crossed': return [{ kind: 'crossed-answer', promise: 'P7', detail }]
    case 'accepted-short': return [{ kind: 'truncated-accepted', promise: 'P7', detail }]
    case 'upload-differs': return [{ kind: 'upload-differs', promise: 'P7', detail }]
    case 'whole':
    case 'truncated':
    case 'none': return []
  }
}

/**
 * Joins callers' records with the runs of all backend servers. Attempts with a key are joined by key, because a
 * duplicate's answer may come from the first attempt's run; all others are joined by nonce. A refusal of one attempt
 * with a key is false if the key ran at all: the refusal invalidates the key.
 */
export function checkRecords (records: readonly CallerRecord[], runs: readonly Run[]): Violation[] {
  const byKey = collectBy(runs, ({ key }) => key)
  const byNonce = collectBy(runs, ({ nonce }) => nonce)
  const violations = checkKeys(byKey)
  for (const record of records) {
    violations.push(...checkBody(record))
    const found = record.key === undefined ? byNonce.get(record.nonce) ?? [] : byKey.get(record.key) ?? []
    const who = `request ${record.id} (${record.kind}) through ${record.node}, ${record.reason ?? 'no reason'}`
    if (record.outcome === 'not-run' && found.length > 0) {
      violations.push({ kind: 'false-not-run', promise: 'P8', detail: `${who}: ${describeRuns(found)}` })
    }
    const isAnswered = record.outcome === 'ran' || record.body === 'whole'
    if (isAnswered && found.length === 0) {
      violations.push({ kind: 'ran-without-run', promise: 'P7', detail: `${who}: no backend server ran it` })
    }
  }
  return violations
}
