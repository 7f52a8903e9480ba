import { MAX_FRAME_BYTES, type PeerMessage } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { pack } from 'msgpackr'
import { decodeFrame, encodeFrame } from '../../src/control/frameCodec.js'

const SEED = Number(process.env.SNIPENOTCH_SEED ?? 20261204)
const endpoint = {
  host: 'a',
  dataCentre: 'b',
  incarnation: 1_700_000_000_000_123,
  sequence: 3,
  state: 'serving' as const,
  slots: 10,
  warmSlots: 1,
  requestAddress: '127.0.0.1:1',
  peerAddress: '127.0.0.1:2',
  adminAddress: '127.0.0.1:3'
}
const MESSAGES: PeerMessage[] = [
  { kind: 'hello', host: 'a', dataCentre: 'b', incarnation: 1, peerAddress: '127.0.0.1:1', scope: ['s'], relay: true, version: 2, digest: 'd' },
  { kind: 'heartbeat', sequence: 1, version: 2 },
  { kind: 'endpoints', endpoints: [endpoint, { ...endpoint, host: 'c', service: 's', version: 'v1' }] },
  { kind: 'roster', nodes: [{ version: 1, hosts: ['a', 'b'] }], rejections: [{ host: 'a', reason: 'r' }] },
  { kind: 'reach', dataCentres: ['b'] },
  { kind: 'subscribe' }
]

describe('frameCodec', () => {
  for (const message of MESSAGES) {
    it(`decodes an encoded ${message.kind} message unchanged (guards against swapped fields)`, () => {
      expect(decodeFrame(encodeFrame(message)).unwrap()).to.deep.equal(message)
    })
  }

  it('encodes a heartbeat in at most 16 bytes (guards against exceeding the byte budget of a relay with 130 subscribers)', () => {
    expect(encodeFrame({ kind: 'heartbeat', sequence: 100_000, version: 100_000 }).length).to.be.at.most(16)
  })

  const invalidFrames: Array<{ name: string, data: Uint8Array, reason: string }> = [
    { name: 'an empty frame', data: new Uint8Array(0), reason: 'frame-malformed' },
    { name: 'a truncated frame', data: encodeFrame(MESSAGES[2]!).subarray(0, 40), reason: 'frame-malformed' },
    { name: 'a map', data: pack({ kind: 'heartbeat' }), reason: 'frame-malformed' },
    { name: 'an unknown kind', data: pack([99]), reason: 'message-invalid' },
    { name: 'a negative kind', data: pack([-1]), reason: 'message-invalid' },
    { name: 'a heartbeat without its fields', data: pack([1]), reason: 'message-invalid' },
    { name: 'a heartbeat with a negative sequence', data: pack([1, -1, 0]), reason: 'message-invalid' },
    { name: 'an oversized frame', data: new Uint8Array(MAX_FRAME_BYTES + 1), reason: 'frame-oversized' }
  ]
  for (const { name, data, reason } of invalidFrames) {
    it(`rejects ${name} with ${reason} (guards against a peer that sends invalid data)`, () => {
      const decoded = decodeFrame(data)
      expect(decoded.isErr() && decoded.error.reason).to.equal(reason)
    })
  }

  it(`never throws on random bytes (guards against a frame that crashes the process; seed ${SEED})`, () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (data) => { decodeFrame(data) }), {
      seed: SEED,
      numRuns: 5000
    })
  })
})
