import { expect } from 'chai'
import fc from 'fast-check'
import { createUsageTally } from '../../src/duty/createUsageTally.js'
import { decodeDutyTable, encodeOpenWindow, encodeReportRows } from '../../src/duty/dutyRows.js'

const MAX_ROW_BYTES = 65_536

describe('dutyRows', () => {
  it('restores windows with thousands of teams from rows below the store\'s limit (guards against a refused write)', () => {
    const teams = Object.fromEntries(Array.from({ length: 10_000 }, (_, index) => [`équipe-${index}-東京`, index]))
    const text = JSON.stringify(teams)
    const rows = [...encodeOpenWindow(7, { 'h-1/1': teams }), ...encodeReportRows(6, text)]
    for (const { value } of rows) expect(Buffer.byteLength(value)).to.be.below(MAX_ROW_BYTES)
    const table = decodeDutyTable(rows.reverse().map((row) => ({ ...row, version: 1 })))
    expect(table.openWindows.get(7)).to.deep.equal({ 'h-1/1': teams })
    expect(table.reports.get(6)).to.equal(text)
  })

  it('never throws on arbitrary rows (guards against a malformed row that ends the duty)', () => {
    const key = fc.oneof(fc.constantFrom('lease', 'open/1/0', 'report/x/-1', 'open//'), fc.string())
    const row = fc.record({ key, value: fc.oneof(fc.string(), fc.json()), version: fc.nat() })
    fc.assert(fc.property(fc.array(row), (rows) => {
      const { openWindows, reports } = decodeDutyTable(rows)
      for (const window of [...openWindows.keys(), ...reports.keys()]) expect(window).to.satisfy(Number.isInteger)
      for (const sources of openWindows.values()) Object.values(sources).flatMap((counts) => Object.entries(counts))
    }), { numRuns: 300 })
  })
})

describe('createUsageTally', () => {
  it('sums the same counts whatever is repeated or reordered (guards against requests that are counted twice)', () => {
    const messages = [['a/1', 3], ['a/1', 5], ['b/1', 2], ['a/2', 1]] as const
    fc.assert(fc.property(fc.shuffledSubarray([...messages, ...messages, ...messages], { minLength: 12 }), (order) => {
      const tally = createUsageTally()
      for (const [source, count] of order) tally.merge(1, source, { north: count })
      expect(tally.sum(1)).to.deep.equal({ north: 8 })
    }))
  })
})
