import { addMilliseconds } from '@snipenotch/contracts'
import { expect } from 'chai'
import type { AddressInfo } from 'node:net'
import { createForwardingClient, type ForwardingClient } from '../src/entry/createForwardingClient.js'
import type { BackendDispatcher } from '../src/home/createBackendDispatcher.js'
import { createForwardingServer, type ForwardingServer } from '../src/home/createForwardingServer.js'
import type { BackendJob } from '../src/home/BackendJob.js'
import { createJob, createRecord } from './createJob.js'
import { createTestContext } from './createTestContext.js'
import { awaitCondition } from './startTestMesh.js'
import { type BandwidthLimiter, startBandwidthLimiter } from './startBandwidthLimiter.js'

const LINK_MBPS = 12
const LOAD = { load: 0, slots: 6, serviceMs: 20, failureShare: 0, fetchMs: 0 }
const BODY_BYTES = 100_000
/** Target latency of a call between services, in milliseconds. */
const CALL_TARGET_MS = 107
/** Request timeout in milliseconds; generous, because the link is emulated in this process. */
const TIME_MS = 15_000

interface Sent {
  readonly job: BackendJob
  readonly isAnswered: () => boolean
}

/** A host with a slow network link that receives large bodies and small requests from many other hosts. */
describe('forwarding over a slow link', () => {
  const context = createTestContext({ linkMbps: LINK_MBPS })
  let ran: BackendJob[]
  let forwardingServer: ForwardingServer
  let bandwidthLimiter: BandwidthLimiter
  let clients: ForwardingClient[]

  beforeEach(async () => {
    ran = []
    const dispatcher: Pick<BackendDispatcher, 'run' | 'findRefusal' | 'getClosedReason' | 'getLoad'> = {
      run: (job, onOutcome) => {
        ran.push(job)
        onOutcome({ kind: 'answered', status: 200, headers: [], body: Buffer.from('done'), notRun: false })
      },
      findRefusal: () => undefined,
      getClosedReason: () => undefined,
      getLoad: () => LOAD
    }
    forwardingServer = createForwardingServer(context, dispatcher, () => [])
    await new Promise<void>((resolve) => { forwardingServer.server.listen(0, '127.0.0.1', resolve) })
    bandwidthLimiter = await startBandwidthLimiter((forwardingServer.server.address() as AddressInfo).port, LINK_MBPS)
    clients = Array.from({ length: 8 }, () =>
      createForwardingClient(context, { markDown: () => undefined }, { observe: () => undefined }))
  })
  afterEach(() => {
    for (const client of clients) client.close()
    bandwidthLimiter.close()
    forwardingServer.close()
    forwardingServer.server.close()
  })

  function send (client: ForwardingClient, bytes: number): Sent {
    const now = context.clock.now()
    let isAnswered = false
    const job = createJob({
      idempotent: bytes === 0,
      body: Buffer.alloc(bytes, 'x'),
      arrivedAt: now,
      targetAt: addMilliseconds(now, TIME_MS),
      deadlineAt: addMilliseconds(now, TIME_MS)
    })
    const record = createRecord('krakow-2', { requestAddress: bandwidthLimiter.address, linkMbps: LINK_MBPS })
    client.send(job, record, ({ kind }) => { isAnswered ||= kind === 'answered' })
    return { job, isAnswered: () => isAnswered }
  }

  it('keeps the link queue short for small requests while uploads arrive (guards against requests delayed behind bodies)', async () => {
    const uploads = clients.flatMap((client) => [send(client, BODY_BYTES), send(client, BODY_BYTES)])
    const calls = clients.map((client) => send(client, 0))
    await awaitCondition('all are answered', () => [...uploads, ...calls].every(({ isAnswered }) => isAnswered()))
    expect(ran.filter(({ body }) => body.equals(Buffer.alloc(BODY_BYTES, 'x')))).to.have.length(uploads.length)
    expect(bandwidthLimiter.getMaxQueuedBytes()).to.be.lessThan(LINK_MBPS * 1000 / 8 * CALL_TARGET_MS / 2)
  })

  it('stops transferring the body of a cancelled upload (guards against a link saturated by unneeded bodies)', async () => {
    const left = clients.slice(1).map((client) => send(client, BODY_BYTES))
    await awaitCondition('a body is on its way', () => bandwidthLimiter.countDeliveredBytes() > 10_000)
    for (const { job } of left) job.cancel?.()
    const stays = send(clients[0] as ForwardingClient, BODY_BYTES)
    await awaitCondition('it is answered', () => stays.isAnswered())
    expect(bandwidthLimiter.countDeliveredBytes()).to.be.lessThan(BODY_BYTES * 3)
  })
})
