import { toMilliseconds } from '@snipenotch/contracts'
import type { EvidenceReport } from '@snipenotch/decisions'
import { expect } from 'chai'
import fc from 'fast-check'
import { pack } from 'msgpackr'
import { decodeBatch, decodeLastRequest, encodeBatch, encodeLastRequest } from '../../src/peers/forwardingCodec.js'
import type { ForwardedJob, ForwardingMessage } from '../../src/peers/ForwardingMessage.js'

const JOB: ForwardedJob = {
  service: 'parts',
  route: 'r-parts',
  priority: 1,
  idempotent: true,
  targetAt: toMilliseconds(1200),
  deadlineAt: toMilliseconds(2000),
  targetLatencyMs: 200,
  attemptId: 'id-1',
  callerService: 'clocks',
  method: 'POST',
  target: '/parts/1?a=b',
  headers: ['X-Own', 'kept'],
  body: Buffer.from('payload')
}
const LOAD = { load: 7, slots: 8, serviceMs: 61, failureShare: 0.25, fetchMs: 140, admittedShare: 0.62 }
const VERSIONS = [12, 340]
const MESSAGES: ForwardingMessage[] = [
  { kind: 'cancel', id: 4 },
  { kind: 'beat' },
  { kind: 'offer', id: 9, job: { ...JOB, body: Buffer.alloc(0) }, bytes: 70_000 },
  { kind: 'pull', id: 9, bytes: 16_384 },
  { kind: 'part', id: 9, part: Buffer.from('part') },
  {
    kind: 'outcome',
    id: 5,
    versions: VERSIONS,
    processingMs: 31,
    outcome: { kind: 'answered', status: 201, headers: ['A', 'b'], body: Buffer.from('x'), notRun: false, load: LOAD }
  },
  { kind: 'outcome', id: 6, versions: VERSIONS, processingMs: 0, outcome: { kind: 'refused', reason: 'busy', waitMs: 42, load: LOAD, isInternal: true } },
  { kind: 'outcome', id: 7, versions: VERSIONS, processingMs: 0, outcome: { kind: 'lost', reason: 'answer-truncated', load: LOAD } },
  { kind: 'outcome', id: 8, versions: [], processingMs: 0, outcome: { kind: 'lost', reason: 'answer-truncated', load: undefined } }
]

describe('forwardingCodec', () => {
  it('decodes an encoded job with its remaining times, for arbitrary strings and bytes', () => {
    const check = (service: string, route: string, header: string, bytes: Uint8Array): void => {
      // Lone surrogates have no UTF-8 encoding; names come from JSON of the platform, which contains none.
      fc.pre(!/[\ud800-\udfff]/.test(service + route + header))
      const job = { ...JOB, service, route, headers: ['X-Any', header], body: Buffer.from(bytes) }
      const decoded = decodeBatch(encodeBatch([{ kind: 'run', id: 3, job }], toMilliseconds(1000)), toMilliseconds(5000))
      expect(decoded).to.deep.equal([{ kind: 'run', id: 3, job: { ...job, targetAt: 5200, deadlineAt: 6000 } }])
    }
    fc.assert(fc.property(fc.string(), fc.string(), fc.string(), fc.uint8Array(), check))
  })

  it('decodes the team of a job, and a job of a build that knows none or more (guards against builds that refuse each other)', () => {
    const decode = (frame: Buffer): unknown => decodeBatch(frame, toMilliseconds(0))
    const fields = [0, 3, 'parts', 'r-parts', 1, true, 1200, 2000, 200, 'id-1', 'clocks', 'POST', '/parts/1?a=b', ['X-Own', 'kept'], JOB.body]
    const run = (job: ForwardedJob): unknown => [{ kind: 'run', id: 3, job }]
    expect(decode(encodeBatch([{ kind: 'run', id: 3, job: { ...JOB, team: 'kube' } }], toMilliseconds(0))))
      .to.deep.equal(run({ ...JOB, team: 'kube' }))
    expect(decode(pack([fields]))).to.deep.equal(run(JOB))
    expect(decode(pack([[...fields, { other: 1, team: 'kube' }, 7]]))).to.deep.equal(run({ ...JOB, team: 'kube' }))
    for (const wrong of [null, 'kube', { team: 4 }]) expect(decode(pack([[...fields, wrong]]))).to.deep.equal(run(JOB))
  })

  it('decodes several messages from one frame, in order', () => {
    expect(decodeBatch(encodeBatch(MESSAGES, toMilliseconds(0)), toMilliseconds(0))).to.deep.equal(MESSAGES)
  })

  it('decodes an answer with a status that no response can have as lost (guards against status 000 sent to a caller)', () => {
    const answer = { kind: 'answered', headers: [], body: Buffer.from('x'), notRun: false, load: LOAD } as const
    for (const status of [0, 101, 199, 1000, 200.5]) {
      const message: ForwardingMessage = { kind: 'outcome', id: 5, versions: VERSIONS, processingMs: 0, outcome: { ...answer, status } }
      const [decoded] = decodeBatch(encodeBatch([message], toMilliseconds(0)), toMilliseconds(0)) ?? []
      expect(decoded?.kind === 'outcome' && decoded.outcome, `status ${status}`)
        .to.deep.equal({ kind: 'lost', reason: 'answer-malformed', load: LOAD })
    }
  })

  const EVIDENCE: EvidenceReport = {
    order: 21,
    version: 'v2',
    run: 77,
    isCut: true,
    routes: new Map([['r-parts', { requests: 40, failures: 5, slow: 1, timed: 30, logSum: 120.5, logSquareSum: 490.25 }]])
  }

  it('decodes the evidence on a version with every outcome, and without what is malformed', () => {
    const kinds = MESSAGES.filter((message) => message.kind === 'outcome')
    const withEvidence = kinds.map((message) => ({ ...message, outcome: { ...message.outcome, evidence: EVIDENCE } }))
    expect(decodeBatch(encodeBatch(withEvidence, toMilliseconds(0)), toMilliseconds(0))).to.deep.equal(withEvidence)
    const wrongRoutes = [['r', -1, 0, 0, 0, 0, 0], ['r', 1, 2, 0, 0, 0, 0], ['r', 1], [3, 1, 0, 0, 0, 0, 0], 'r', null]
    for (const wrong of [null, 'x', [], [1, 2, 3, 4, 5], ...wrongRoutes.map((route) => [21, 'v2', 7, false, [route]])]) {
      const frame = pack([[4, 6, null, [], 0, 'connection-lost', wrong]])
      expect(decodeBatch(frame, toMilliseconds(0))).to.deep.equal([
        { kind: 'outcome', id: 6, versions: [], processingMs: 0, outcome: { kind: 'lost', reason: 'connection-lost', load: undefined } }
      ])
    }
  })

  it('decodes the last request of a close frame, and nothing from any other reason (guards against a false "not run")', () => {
    fc.assert(fc.property(fc.nat(), (id) => decodeLastRequest(Buffer.from(encodeLastRequest(id))) === id))
    for (const reason of ['', 'last-request=', 'last-request=-1', 'last-request=1.5', 'last-request=1 ', `last-request=${'9'.repeat(16)}`]) {
      expect(decodeLastRequest(Buffer.from(reason)), reason).to.equal(undefined)
    }
  })

  it('rejects malformed frames without an exception (guards against a peer that crashes a node)', () => {
    const wrong = [
      {}, 'x', [1], [[0]], [['run', 1]], [[0, 1, 'parts']], [[9, 1]],
      [[2, 1, null, [], 0, '200', [], Buffer.alloc(0)]], [[2, 1, null, [], 'x', 200, [], Buffer.alloc(0), false]],
      [[0, 1, 's', 'r', 1, true, 1, 1, 1, 'id', 's', 'GET', '/', ['odd'], Buffer.alloc(0)]], [[3, 1, null, [], 0, 'busy']],
      [[6, 1, -1, 's', 'r', 1, true, 1, 1, 1, 'id', 's', 'GET', '/', [], Buffer.alloc(0)]], [[7, 1, 0.5]], [[8, 1, 'x']]
    ]
    for (const value of wrong) {
      expect(decodeBatch(pack(value), toMilliseconds(0)), JSON.stringify(value)).to.equal(undefined)
    }
    fc.assert(fc.property(fc.uint8Array(), (bytes) => { decodeBatch(Buffer.from(bytes), toMilliseconds(0)) }))
  })
})
