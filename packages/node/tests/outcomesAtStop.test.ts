import { addMilliseconds, createSystemClock } from '@snipenotch/contracts'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { connect } from 'node:net'
import { WebSocket } from 'ws'
import { decodeBatch, encodeBatch } from '../src/peers/forwardingCodec.js'
import type { ForwardingMessage } from '../src/peers/ForwardingMessage.js'
import { createJob } from './createJob.js'
import type { NodeProcess } from './startNodeProcess.js'
import { type ServingNode, startServingNode } from './startServingNode.js'
import { awaitCondition } from './startTestMesh.js'

/** Time limit for bundling the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000
const REQUESTS = 3
/** The outcomes together are more than the other node's socket buffer takes before it reads, in bytes. */
const ANSWER_BYTES = 500_000
/** Time after the node refuses connections in which the other node reads nothing and sends more, in milliseconds. */
const UNREAD_MS = 200
const SEND_INTERVAL_MS = 20
const clock = createSystemClock()

const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

const isListening = (port: number): Promise<boolean> => new Promise((resolve) => {
  const socket = connect(port, '127.0.0.1', () => {
    socket.destroy()
    resolve(true)
  })
  socket.on('error', () => { resolve(false) })
})

/** Connection of a node that forwards requests. */
interface Link {
  readonly socket: WebSocket
  readonly received: ForwardingMessage[]
  /** Why the connection ended; undefined while it is open. */
  readonly getEnd: () => string | undefined
  readonly send: (...messages: ForwardingMessage[]) => void
}

async function openLink (port: number): Promise<Link> {
  const socket = new WebSocket(`ws://127.0.0.1:${port}/`)
  const received: ForwardingMessage[] = []
  let end: string | undefined
  socket.on('message', (data: Buffer) => { received.push(...decodeBatch(data, clock.now()) ?? []) })
  socket.on('error', ({ message }) => { end = message })
  socket.on('close', (code) => { end ??= `code ${code}` })
  await new Promise((resolve) => { socket.once('open', resolve) })
  return {
    socket,
    received,
    getEnd: () => end,
    send: (...messages) => { socket.send(encodeBatch(messages, clock.now()), () => undefined) }
  }
}

describe('outcomes of a process that stops', () => {
  let serving: ServingNode
  let node: NodeProcess

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })

  beforeEach(async () => {
    serving = await startServingNode()
    node = serving.process
  })
  afterEach(() => serving.close())

  it('arrive whole at a node that reads them late and sends more (guards against outcomes that are lost with their process)', async () => {
    const link = await openLink(node.requests)
    const times = { targetAt: addMilliseconds(clock.now(), 5000), deadlineAt: addMilliseconds(clock.now(), 8000) }
    const ids = Array.from({ length: REQUESTS }, (_, index) => index + 1)
    link.send(...ids.map((id) => ({
      kind: 'run' as const,
      id,
      job: createJob({
        ...times,
        service: 'clocks',
        route: 'r-clocks',
        idempotent: false,
        attemptId: `id-${id}`,
        target: `/clocks/${id}`,
        headers: ['Host', 'a.example', PLATFORM_HEADERS.attemptId, `id-${id}`]
      })
    })))
    await awaitCondition('all run', () => serving.answers.size === REQUESTS)
    node.child.kill('SIGTERM')
    await awaitCondition('it is stopping', () => node.readOutput().includes('"event":101'))
    link.socket.pause()
    for (const answer of serving.answers.values()) answer(ANSWER_BYTES)
    const sending = setInterval(() => { link.send({ kind: 'cancel', id: 1000 }) }, SEND_INTERVAL_MS)
    await awaitCondition('it refuses connections', async () => !(await isListening(node.requests)))
    await awaitPause(UNREAD_MS)
    link.socket.resume()
    await awaitCondition('the connection has ended', () => link.getEnd() !== undefined)
    clearInterval(sending)
    const outcomes = link.received.flatMap((message) => message.kind === 'outcome' ? [message] : [])
    const arrived = outcomes.map(({ id, outcome }) =>
      `${id} ${outcome.kind === 'answered' ? outcome.body.length : outcome.reason}`)
    const detail = `the connection ended with ${link.getEnd() ?? ''}`
    expect(arrived.sort(), detail).to.deep.equal(ids.map((id) => `${id} ${ANSWER_BYTES}`))
    expect(await node.exited).to.equal(0)
  })

  it('do not hold up the exit beside a node that never reads (guards against a stop that ends by SIGKILL)', async () => {
    const link = await openLink(node.requests)
    link.socket.pause()
    node.child.kill('SIGTERM')
    expect(await node.exited).to.equal(0)
    link.socket.terminate()
    expect(node.readOutput()).to.contain('"event":845').and.to.contain('"event":102')
  })
})
