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
const ran: Run = {
  id: 'b1#1', server: 'b1', method: 'POST', url: '/parts', key: 'k1', nonce: 'n1', digest: '', bytes: 0, outcome: 'completed'
}
const looked: Run = { ...ran, id: 'b1#2', key: undefined, nonce: 'n2' }

describe('checkRecords', () => {
  const cases: Array<{ name: string, records: CallerRecord[], runs: Run[], found: string[] }> = [
    { name: 'an answered order and lookup', records: [answered, lookup], runs: [ran, looked], found: [] },
    { name: 'a true refusal', records: [refused], runs: [], found: [] },
    { name: 'a duplicate answered by one run', records: [answered, { ...answered, nonce: 'n3', duplicate: true }], runs: [ran], found: [] },
    { name: 'a retried lookup that ran twice', records: [lookup], runs: [looked, { ...looked, id: 'b2#1' }], found: [] },
    { name: 'a truncated answer that the caller noticed', records: [{ ...lookup, body: 'truncated' }], runs: [looked], found: [] },
    { name: 'a key that ran on two servers', records: [answered], runs: [ran, { ...ran, id: 'b2#1' }], found: ['key-ran-twice'] },
    { name: 'a key that ran again after a crash', records: [answered], runs: [{ ...ran, outcome: 'crashed' }, { ...ran, id: 'b1#9' }], found: ['key-ran-twice'] },
    { name: 'a false not-run of an order', records: [refused], runs: [ran], found: ['false-not-run'] },
    { name: 'a false not-run of a lookup', records: [{ ...refused, key: undefined, nonce: 'n2' }], runs: [looked], found: ['false-not-run'] },
    { name: 'an answer that no server ran', records: [answered], runs: [], found: ['ran-without-run'] },
    { name: 'a crossed answer', records: [{ ...lookup, body: 'crossed' }], runs: [looked], found: ['crossed-answer'] },
    { name: 'a truncated answer taken as complete', records: [{ ...lookup, body: 'accepted-short' }], runs: [looked], found: ['truncated-accepted'] },
    { name: 'an upload that arrived changed', records: [{ ...lookup, body: 'upload-differs' }], runs: [looked], found: ['upload-differs'] }
  ]
  for (const { name, records, runs, found } of cases) {
    it(`${found.length === 0 ? 'accepts' : 'finds'} ${name}`, () => {
      expect(checkRecords(records, runs).map(({ kind }) => kind)).to.deep.equal(found)
    })
  }
})
