import type { Run } from '@snipenotch/stand-ins'
import { expect } from 'chai'
import type { CallerRecord } from '../../src/load/CallerRecord.js'
import { checkRecords } from '../../src/load/checkRecords.js'

const answered: CallerRecord = {
  id: 1,
  kind: 'order',
  nonce: 'n1',
  key: 'k1',
  node: '127.0.0.1:1',
  duplicate: false,
  status: 200,
  outcome: 'ran',
  reason: undefined,
  version: 'v1',
  server: 'b1',
  body: 'whole',
  disconnected: false,
  startedAt: 0,
  durationMs: 1
}
const lookup: CallerRecord = { ...answered, id: 2, kind: 'lookup', key: undefined, nonce: 'n2' }
const refused: CallerRecord = { ...answered, outcome: 'not-run', status: 503, body: 'none', reason: 'queue-full' }
const orderRun: Run = {
  id: 'b1#1', server: 'b1', method: 'POST', url: '/parts', key: 'k1', nonce: 'n1', digest: '', bytes: 0, outcome: 'completed'
}
const lookupRun: Run = { ...orderRun, id: 'b1#2', key: undefined, nonce: 'n2' }

describe('checkRecords', () => {
  const cases: Array<{ name: string, records: CallerRecord[], runs: Run[], found: string[] }> = [
    { name: 'an order and a lookup, each with its run', records: [answered, lookup], runs: [orderRun, lookupRun], found: [] },
    { name: 'a refusal of a request that did not run', records: [refused], runs: [], found: [] },
    { name: 'two attempts with one key and one run', records: [answered, { ...answered, nonce: 'n3', duplicate: true }], runs: [orderRun], found: [] },
    { name: 'a retried lookup that ran twice', records: [lookup], runs: [lookupRun, { ...lookupRun, id: 'b2#1' }], found: [] },
    { name: 'a truncated response that the caller noticed', records: [{ ...lookup, body: 'truncated' }], runs: [lookupRun], found: [] },
    { name: 'a key that ran on two servers', records: [answered], runs: [orderRun, { ...orderRun, id: 'b2#1' }], found: ['key-ran-twice'] },
    { name: 'a key that ran again after a crash', records: [answered], runs: [{ ...orderRun, outcome: 'crashed' }, { ...orderRun, id: 'b1#9' }], found: ['key-ran-twice'] },
    { name: 'a not-run for an order that ran', records: [refused], runs: [orderRun], found: ['false-not-run'] },
    { name: 'a not-run for a lookup that ran', records: [{ ...refused, key: undefined, nonce: 'n2' }], runs: [lookupRun], found: ['false-not-run'] },
    { name: 'a response without a run', records: [answered], runs: [], found: ['ran-without-run'] },
    { name: 'a response to another request', records: [{ ...lookup, body: 'crossed' }], runs: [lookupRun], found: ['crossed-answer'] },
    { name: 'a truncated response accepted as complete', records: [{ ...lookup, body: 'accepted-short' }], runs: [lookupRun], found: ['truncated-accepted'] },
    { name: 'an upload that arrived changed', records: [{ ...lookup, body: 'upload-differs' }], runs: [lookupRun], found: ['upload-differs'] }
  ]
  for (const { name, records, runs, found } of cases) {
    it(`${found.length === 0 ? 'accepts' : 'finds'} ${name}`, () => {
      expect(checkRecords(records, runs).map(({ kind }) => kind)).to.deep.equal(found)
    })
  }
})
