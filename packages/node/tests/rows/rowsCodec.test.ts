import { composeRowVersion } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { pack, unpack } from 'msgpackr'
import { decodeRows, encodeRows, type RowsResponse } from '../../src/rows/rowsCodec.js'

const ANSWER: RowsResponse = {
  isConnected: true,
  storeTime: 1234,
  updates: [
    { table: 't', isFullTable: false, version: 4, rows: [{ table: 't', key: 'k', value: 'v', version: 3 }, { table: 't', key: 'l', value: undefined, version: 4 }] },
    { table: 'u', isFullTable: true, version: 9, rows: [] }
  ]
}

describe('rowsCodec', () => {
  it('decodes encoded changes, removals and full tables', () => {
    expect(decodeRows(encodeRows(ANSWER))).to.deep.equal(ANSWER)
  })

  it('carries the eras of rows, and numbers of the store where earlier builds read them (guards against copies of an earlier build that refuse every later row)', () => {
    const restored = ANSWER.updates.map((update) => ({
      ...update,
      version: composeRowVersion(2, update.version),
      rows: update.rows.map((row, index) => ({ ...row, version: composeRowVersion(index + 1, row.version) }))
    }))
    const answer = { ...ANSWER, updates: restored }
    const bytes = encodeRows(answer)
    expect(decodeRows(bytes)).to.deep.equal(answer)
    const [, , updates] = unpack(bytes.subarray(1)) as [unknown, unknown, Array<[string, boolean, number]>]
    expect(updates.map(([, , version]) => version)).to.deep.equal([4, 9])
  })

  it('compresses a configuration to less than a fifth of its size (guards against versions that arrive late over slow links)', () => {
    const routes = Array.from({ length: 1500 }, (_, index) => ({ name: `route-${index}`, host: `h${index % 7}.example`, prefix: `/p${index * 7919 % 1000}/` }))
    const value = JSON.stringify(routes)
    const answer = { ...ANSWER, updates: [{ table: 't', isFullTable: false, version: 4, rows: [{ table: 't', key: 'k', value, version: 3 }] }] }
    const bytes = encodeRows(answer)
    expect(bytes.length).to.be.lessThan(value.length / 5)
    expect(decodeRows(bytes)).to.deep.equal(answer)
  })

  it('rejects malformed responses without an exception (guards against a peer that crashes a node)', () => {
    const wrong = [{}, [1], [true, 1], [true, 1, [['t', true, 1]]], [true, 1, [['t', true, 1, [['k', 5, 1]]]]], ['x', 1, []], [true, 1, [['t', true, 1, [], -1]]], [true, 1, [['t', true, 1, [['k', 'v', 1, 9e9]]]]]]
    for (const value of wrong) expect(decodeRows(Buffer.concat([Buffer.of(0), pack(value)]))).to.equal(undefined)
    fc.assert(fc.property(fc.uint8Array(), (bytes) => { decodeRows(Buffer.from(bytes)) }))
    fc.assert(fc.property(fc.uint8Array(), (bytes) => { decodeRows(Buffer.concat([Buffer.of(1), bytes])) }))
  })
})
