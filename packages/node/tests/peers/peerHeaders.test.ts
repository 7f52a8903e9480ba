import { toMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { pack } from 'msgpackr'
import { decodeRows } from '../../src/peers/createPeerServer.js'
import {
  decodeJob, decodeNoAnswer, decodePeerState, encodeJob, encodeNoAnswer, encodePeerState, isMeshHeader
} from '../../src/peers/peerHeaders.js'

const toHeaders = (flat: readonly string[]): Record<string, string> => ({ [flat[0] ?? '']: flat[1] ?? '' })

describe('peerHeaders', () => {
  it('carries a job with times left, whatever its names hold', () => {
    const rank = fc.integer({ min: 0, max: 9 })
    const check = (service: string, route: string, priority: number, idempotent: boolean): void => {
      // Lone surrogates have no encoding; names come from JSON texts of the platform, which hold none.
      fc.pre(!/[\ud800-\udfff]/.test(service + route))
      const job = {
        service,
        route,
        priority,
        idempotent,
        targetAt: toMilliseconds(1200),
        endAt: toMilliseconds(2000),
        targetLatencyMs: 200
      }
      const decoded = decodeJob(toHeaders(encodeJob(job, toMilliseconds(1000))), toMilliseconds(5000))
      expect(decoded).to.deep.equal({ ...job, targetAt: 5200, endAt: 6000 })
    }
    fc.assert(fc.property(fc.string(), fc.string(), rank, fc.boolean(), check))
  })

  it('rejects malformed jobs without an exception (guards against a sender that stops a node)', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.constantFrom('a,b,1,1,1,1', 'a,b,1,1,1,1,', '%,b,1,1,1,1,1', 'a,b,1,1,1,1,x')), (text) => {
      const decoded = decodeJob({ 'sn-job': text }, toMilliseconds(0))
      if (decoded !== undefined) expect(Object.values(decoded).every((value) => !Number.isNaN(value))).to.equal(true)
    }))
    expect(decodeJob({}, toMilliseconds(0))).to.equal(undefined)
  })

  it('carries load and row versions, and reads none from malformed text', () => {
    const load = { load: 7, slots: 8, serviceMs: 61, failureShare: 0.25 }
    expect(decodePeerState(toHeaders(encodePeerState(load, [12, 340])))).to.deep.equal({ load, versions: [12, 340] })
    for (const text of ['', '1,2', '1,2,3,x', '1,2,3,4,y']) {
      expect(decodePeerState({ 'sn-load': text })).to.deep.equal({ load: undefined, versions: [] })
    }
  })

  it('carries refusals and losses', () => {
    const refused = encodeNoAnswer({ kind: 'refused', reason: 'busy', waitMs: 41.6 })
    expect([refused.status, decodeNoAnswer(toHeaders(refused.headers))])
      .to.deep.equal([503, { kind: 'refused', reason: 'busy', waitMs: 42 }])
    const lost = encodeNoAnswer({ kind: 'lost', reason: 'answer-truncated' })
    expect([lost.status, decodeNoAnswer(toHeaders(lost.headers))]).to.deep.equal([502, { kind: 'lost', reason: 'answer-truncated' }])
    expect(decodeNoAnswer({})).to.equal(undefined)
  })

  it('tells headers between nodes from others', () => {
    expect(['sn-job', 'snipenotch-x', 'host'].map(isMeshHeader)).to.deep.equal([true, false, false])
  })
})

describe('decodeRows', () => {
  it('reads rows and rejects anything else', () => {
    const rows = [{ table: 't', key: 'k', value: 'v', version: 3 }, { table: 't', key: 'l', value: undefined, version: 4 }]
    expect(decodeRows(pack(rows))).to.deep.equal(rows)
    for (const value of [{}, [1], [{ table: 't' }], 'x']) expect(decodeRows(pack(value))).to.equal(undefined)
    fc.assert(fc.property(fc.uint8Array(), (bytes) => { decodeRows(Buffer.from(bytes)) }))
  })
})
