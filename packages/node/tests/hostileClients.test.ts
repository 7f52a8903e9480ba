import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { readdirSync, readFileSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { SERVED_PATH, type ServingNode, startServingNode } from './startServingNode.js'
import { awaitCondition, send } from './startTestMesh.js'

/** Time limit for bundling the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000
const TEST_TIMEOUT_MS = 120_000
/** Heap limit of the node, in megabytes: less than in use, so that few clients reach it. */
const HEAP_MB = 40
/** Memory stated in the settings of the node, in megabytes. */
const MACHINE_MEMORY_MB = 200
/** Clients that send requests and never read a response. */
const CROWD = 100
/** Bytes that each of them sends at most. */
const CLIENT_BYTES = 2_000_000
/** Open descriptors of the node beside those of the crowd, up to 64 of them for its backend server. */
const MAX_OTHER_DESCRIPTORS = 200
/** Time for which the node is left with the crowd, in milliseconds, unless it ends or becomes idle before. */
const CROWD_MS = 25_000
const POLL_MS = 500
/** Processor time within a poll, in clock ticks of 10 ms, below which the node is idle. */
const IDLE_TICKS = 10

/** Sends requests on one connection, as fast as the node reads them, and reads no response. */
function startHostileClient (port: number, text: string): Socket {
  const block = text.repeat(Math.ceil(65_536 / text.length))
  const socket = connect(port, '127.0.0.1')
  socket.pause()
  socket.on('error', () => undefined)
  const sendMore = (): void => {
    while (!socket.destroyed && socket.bytesWritten < CLIENT_BYTES && socket.write(block));
  }
  socket.on('drain', sendMore)
  socket.on('connect', sendMore)
  return socket
}

describe('hostile clients', () => {
  let serving: ServingNode
  let crowd: Socket[]

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })
  beforeEach(async function () {
    this.timeout(TEST_TIMEOUT_MS)
    crowd = []
    serving = await startServingNode({ memoryMb: MACHINE_MEMORY_MB, nodeOptions: [`--max-old-space-size=${HEAP_MB}`] })
  })
  afterEach(async function () {
    this.timeout(TEST_TIMEOUT_MS)
    for (const socket of crowd) socket.destroy()
    await serving.close()
  })

  const isAlive = (): boolean => serving.process.child.exitCode === null && serving.process.child.signalCode === null

  const readTicks = (pid: number): number => {
    const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(' ')
    return Number(fields[13]) + Number(fields[14])
  }

  /** Leaves the node with the crowd until it has ended, or works no more, for `CROWD_MS` at most. */
  async function awaitCrowd (pid: number): Promise<void> {
    const endsAt = Date.now() + CROWD_MS
    let before = -Infinity
    while (isAlive() && Date.now() < endsAt) {
      const ticks = readTicks(pid)
      if (ticks - before < IDLE_TICKS) return
      before = ticks
      await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
    }
  }

  const readPeakMemory = (pid: number): number =>
    Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1024

  const cases: Array<[string, 'readiness' | 'callers', string]> = [
    ['the readiness path', 'readiness', 'GET /ready HTTP/1.1\r\nHost: a\r\n\r\n'],
    ['a route without the usual headers', 'callers', `GET ${SERVED_PATH} HTTP/1.1\r\nHost: a.example\r\n\r\n`],
    ['a path of no route', 'callers', 'GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n']
  ]
  for (const [title, listener, text] of cases) {
    it(`stays alive and within its memory while clients pipeline requests for ${title} and read no response (guards against a node that runs out of memory)`, async () => {
      const { process: node } = serving
      crowd = Array.from({ length: CROWD }, () => startHostileClient(node[listener], text))
      const pid = node.child.pid ?? 0
      await awaitCrowd(pid)
      const isAnswered = (port: number, path: string, status?: number): Promise<boolean> => send(port, path)
        .then((answer) => answer.status === (status ?? answer.status), () => !isAlive())
      // A refusal is an answer, too.
      await awaitCondition('a request beside the crowd is answered', () => isAnswered(node.callers, SERVED_PATH))
      expect(isAlive(), `${title}: ${node.readOutput().slice(-1500)}`).to.equal(true)
      expect(readPeakMemory(pid), 'peak memory in megabytes').to.be.lessThan(MACHINE_MEMORY_MB)
      expect(readdirSync(`/proc/${pid}/fd`).length).to.be.lessThan(CROWD + MAX_OTHER_DESCRIPTORS)
      for (const socket of crowd) socket.destroy()
      await awaitCondition('an ordinary request is served', () => isAnswered(node.callers, SERVED_PATH, 200))
      await awaitCondition('the node is ready', () => isAnswered(node.readiness, '/ready', 200))
      expect(isAlive(), `${title}: ${node.readOutput().slice(-1500)}`).to.equal(true)
    }).timeout(TEST_TIMEOUT_MS)
  }
})
