import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import fc from 'fast-check'
import { execFileSync } from 'node:child_process'
import { connect, type Socket } from 'node:net'
import type { NodeProcess } from './startNodeProcess.js'
import { type ServingNode, startServingNode } from './startServingNode.js'
import { awaitCondition } from './startTestMesh.js'

/** Time limit for bundling the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000
/** Time after SIGTERM at which a node without open requests ends, in milliseconds. */
const EARLIEST_EXIT_MS = 2300
/** More than the socket buffers of both ends hold before the caller reads, in bytes. */
const LARGE_ANSWER_BYTES = 1_500_000
/** More than the operating system takes before the caller reads, in bytes. */
const HUGE_ANSWER_BYTES = 8_000_000

const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Bytes of a request that end within its head. */
const HEAD_PART_BYTES = 40
/** Connections that are opened while the process is paused. */
const WAITING_CALLERS = 100

/** Seed and number of runs of the property; each one ends a process. */
const SEED = Number(process.env.STOP_SEED ?? 4501)
const RUNS = Number(process.env.STOP_RUNS ?? 3)
/** Time limit of one run, in milliseconds: start, grace period, and reading late. */
const RUN_TIMEOUT_MS = 20_000
/** Callers of one run, and the largest number of requests that one sends behind each other. */
const CALLERS = 24
const MAX_PIPELINED = 3

/** A caller with one connection. Times are in milliseconds after SIGTERM. */
interface CallerPlan {
  readonly requests: ReadonlyArray<{ readonly answerAt: number, readonly bytes: number }>
  /** Time at which it begins to read. */
  readonly readAt: number
  /** Time at which it sends another request behind the others. */
  readonly sendAt: number | undefined
}

/** A response as received. */
interface ReceivedResponse { readonly status: number, readonly attemptId: string, readonly body: string }

/** Splits what was received on a connection into its complete responses. */
function parseResponses (text: string): ReceivedResponse[] {
  const responses: ReceivedResponse[] = []
  let rest = text
  for (;;) {
    const headEnd = rest.indexOf('\r\n\r\n')
    const head = rest.slice(0, headEnd)
    const bodyStart = headEnd + 4
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1])
    if (headEnd === -1 || !(rest.length - bodyStart >= length)) return responses
    responses.push({
      status: Number(head.split(' ')[1]),
      attemptId: /attempt-id: (\S+)/i.exec(head)?.[1] ?? '',
      body: rest.slice(bodyStart, bodyStart + length)
    })
    rest = rest.slice(bodyStart + length)
  }
}

const callerPlans = fc.array(fc.record({
  requests: fc.array(fc.record({
    answerAt: fc.integer({ min: 0, max: 3200 }),
    bytes: fc.oneof(
      { weight: 3, arbitrary: fc.integer({ min: 1, max: 2000 }) },
      { weight: 2, arbitrary: fc.integer({ min: 10_000, max: 500_000 }) },
      { weight: 1, arbitrary: fc.integer({ min: 1_000_000, max: 2_500_000 }) }
    )
  }), { minLength: 1, maxLength: MAX_PIPELINED }),
  readAt: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 3400 })),
  sendAt: fc.option(fc.integer({ min: 0, max: 3300 }), { nil: undefined })
}), { minLength: CALLERS, maxLength: CALLERS })

/** Connection of a caller that reads nothing until `read` is called. */
interface LateReader {
  readonly socket: Socket
  /** Reads until the connection ends; resolves with all bytes, and the error that ended it. */
  readonly read: () => Promise<{ readonly text: string, readonly error: string | undefined }>
}

const composeRequest = (id: string): string =>
  `GET /clocks/${id} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${id}\r\n${PLATFORM_HEADERS.remainingMs}: 60000\r\n\r\n`

function openLateReader (port: number): LateReader {
  const socket = connect({ port, host: '127.0.0.1' })
  socket.pause()
  let error: string | undefined
  socket.on('error', ({ message }) => { error = message })
  return {
    socket,
    read: () => new Promise((resolve) => {
      const chunks: Buffer[] = []
      const end = (): void => { resolve({ text: Buffer.concat(chunks).toString(), error }) }
      if (socket.closed) end()
      socket.on('data', (chunk: Buffer) => chunks.push(chunk)).once('close', end).resume()
    })
  }
}

describe('answers of a process that stops', () => {
  let serving: ServingNode
  let node: NodeProcess
  let answers: ServingNode['answers']

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })

  async function startNode (): Promise<void> {
    serving = await startServingNode()
    node = serving.process
    answers = serving.answers
  }

  beforeEach(startNode)
  afterEach(() => serving.close())

  it('arrive whole at a caller that reads them late and has sent more (guards against an answer that is lost with its process)', async () => {
    const caller = openLateReader(node.callers)
    caller.socket.write(composeRequest('late'))
    await awaitCondition('it runs', () => answers.size === 1)
    node.child.kill('SIGTERM')
    await awaitPause(EARLIEST_EXIT_MS - 1000)
    answers.get('/clocks/late')?.(LARGE_ANSWER_BYTES)
    await awaitPause(1500)
    caller.socket.write(composeRequest('behind'))
    await awaitPause(50)
    const { text, error } = await caller.read()
    expect(error, node.readOutput().slice(-1000)).to.equal(undefined)
    expect(text.length).to.be.greaterThan(LARGE_ANSWER_BYTES)
    expect(await node.exited).to.equal(0)
  })

  it('end their connections although they began before the stop (guards against a process that waits for an idle connection)', async () => {
    const caller = openLateReader(node.callers)
    caller.socket.write(composeRequest('early'))
    await awaitCondition('it runs', () => answers.size === 1)
    answers.get('/clocks/early')?.(HUGE_ANSWER_BYTES)
    await awaitCondition('the response has begun', () => node.readOutput().includes('"request":"early"'))
    node.child.kill('SIGTERM')
    await awaitPause(EARLIEST_EXIT_MS + 500)
    const { text, error } = await caller.read()
    expect(error).to.equal(undefined)
    expect(text.length).to.be.greaterThan(HUGE_ANSWER_BYTES)
    expect(await node.exited).to.equal(0)
    expect(node.readOutput()).to.include('"event":102').and.not.include('"event":843')
  })

  it('are not reset on idle connections (guards against callers that take a planned stop for a failure)', async () => {
    const caller = connect(node.callers, '127.0.0.1')
    const errors: string[] = []
    let received = ''
    caller.on('data', (chunk: Buffer) => { received += chunk.toString() }).on('error', ({ message }) => { errors.push(message) })
    caller.write(composeRequest('served'))
    await awaitCondition('it is served', () => received.endsWith('served'))
    node.child.kill('SIGTERM')
    await awaitCondition('the connection ends', () => caller.closed)
    expect(errors).to.deep.equal([])
    expect(await node.exited).to.equal(0)
    expect(node.readOutput()).to.include('"event":842').and.not.include('"event":843')
  })

  it('are sent to requests on idle connections while the process awaits another caller (guards against a request that is read and discarded)', async () => {
    const idle = [connect(node.callers, '127.0.0.1'), connect(node.callers, '127.0.0.1')]
    const received: string[] = idle.map(() => '')
    idle.forEach((socket, index) => {
      socket.on('data', (chunk: Buffer) => { received[index] = `${received[index] ?? ''}${chunk.toString()}` })
    })
    for (const socket of idle) socket.write(composeRequest('served'))
    await awaitCondition('they are served', () => received.every((text) => text.endsWith('served')))
    const busy = openLateReader(node.callers)
    busy.socket.write(composeRequest('busy'))
    await awaitCondition('it runs', () => answers.size === 1)
    node.child.kill('SIGTERM')
    await awaitPause(EARLIEST_EXIT_MS - 1000)
    answers.get('/clocks/busy')?.(LARGE_ANSWER_BYTES)
    const text = composeRequest('part')
    idle[1]?.write(text.slice(0, HEAD_PART_BYTES))
    await awaitPause(1200)
    idle[0]?.write(composeRequest('whole'))
    idle[1]?.write(text.slice(HEAD_PART_BYTES))
    await awaitCondition('both are answered', () => received.every((text) => parseResponses(text).length === 2))
    expect(parseResponses((await busy.read()).text)).to.have.length(1)
    for (const text of received) expect(parseResponses(text).map(({ status }) => status)).to.deep.equal([200, 503])
    expect(await node.exited).to.equal(0)
    expect(node.readOutput()).not.to.include('"event":843')
  })

  it('arrive whole although bytes that are no request follow (guards against an answer that a parser error resets)', async () => {
    const caller = openLateReader(node.callers)
    caller.socket.write(composeRequest('late'))
    await awaitCondition('it runs', () => answers.size === 1)
    node.child.kill('SIGTERM')
    await awaitPause(500)
    answers.get('/clocks/late')?.(LARGE_ANSWER_BYTES)
    for (const bytes of ['\0garbage\r\n\r\n', 'more\r\n\r\n', 'more\r\n\r\n']) {
      await awaitPause(300)
      caller.socket.write(bytes)
    }
    const { text, error } = await caller.read()
    expect(error).to.equal(undefined)
    expect(text.length).to.be.greaterThan(LARGE_ANSWER_BYTES)
    expect(await node.exited).to.equal(0)
  })

  it('do not hold up the exit for callers that keep idle connections (guards against a stop that lasts until its limit)', async () => {
    const sockets = [connect({ port: node.callers, host: '127.0.0.1', allowHalfOpen: true }), connect({ port: node.callers, host: '127.0.0.1', allowHalfOpen: true })]
    let received = ''
    for (const socket of sockets) socket.on('data', (chunk: Buffer) => { received += chunk.toString() })
    sockets[0]?.write(composeRequest('served'))
    await awaitCondition('it is served', () => received.endsWith('served'))
    node.child.kill('SIGTERM')
    expect(await node.exited).to.equal(0)
    expect(node.readOutput()).to.match(/"event":842,"connections":2,"unused":1/).and.not.include('"event":843')
    for (const socket of sockets) socket.destroy()
  })

  it('are sent to callers whose connections wait to be accepted (guards against requests that are reset when the server closes)', async () => {
    const exited = node.exited
    node.child.kill('SIGTERM')
    await awaitPause(EARLIEST_EXIT_MS - 500)
    node.child.kill('SIGSTOP')
    const callers = Array.from({ length: WAITING_CALLERS }, (_, index) => {
      const caller = openLateReader(node.callers)
      caller.socket.write(composeRequest(`waiting-${index}`))
      return caller
    })
    await awaitPause(700)
    node.child.kill('SIGCONT')
    const ended = await Promise.all(callers.map(({ read }) => read()))
    const statuses = ended.map(({ text }) => parseResponses(text)[0]?.status)
    expect(statuses.filter((status) => status !== 503), node.readOutput().slice(-1000)).to.deep.equal([])
    expect(answers).to.have.property('size', 0)
    expect(await exited).to.equal(0)
  })

  /** Plays one caller from SIGTERM on; resolves with the faults found on its connection. */
  async function playCaller (index: number, plan: CallerPlan): Promise<string[]> {
    const caller = openLateReader(node.callers)
    const paths = plan.requests.map((_, serial) => `${index}-${serial}`)
    for (const name of paths) caller.socket.write(composeRequest(name))
    await awaitCondition('its requests run', () => paths.every((name) => answers.has(`/clocks/${name}`)))
    return await stopping.then(async () => {
      plan.requests.forEach(({ answerAt, bytes }, serial) => {
        setTimeout(() => { answers.get(`/clocks/${paths[serial] ?? ''}`)?.(bytes) }, answerAt)
      })
      if (plan.sendAt !== undefined) setTimeout(() => { caller.socket.write(composeRequest(`${index}-behind`)) }, plan.sendAt)
      await awaitPause(plan.readAt)
      const responses = parseResponses((await caller.read()).text)
      return paths.flatMap((name, serial) => {
        const found = responses[serial]
        const bytes = plan.requests[serial]?.bytes
        return found?.attemptId === name && found.status === 200 && found.body.length === bytes
          ? []
          : [`${name}: ${found?.status ?? 'no complete response'} ${JSON.stringify(plan)}`]
      }).concat(responses.flatMap(({ status, attemptId }) =>
        status === 503 && answers.has(`/clocks/${attemptId}`) ? [`${attemptId} was refused and ran`] : []))
    })
  }

  let stopping: Promise<void>

  it(`reach their callers for every order of answers, sizes and late reads (guards against an answer that is lost with its process; seed ${SEED})`, async () => {
    let isFirst = true
    await fc.assert(fc.asyncProperty(callerPlans, async (plans) => {
      if (!isFirst) {
        await serving.close()
        await startNode()
      }
      isFirst = false
      let stop = (): void => undefined
      stopping = new Promise((resolve) => { stop = resolve })
      const played = Promise.all(plans.map((plan, index) => playCaller(index, plan)))
      const count = plans.reduce((sum, { requests }) => sum + requests.length, 0)
      await awaitCondition('all requests run', () => answers.size === count)
      node.child.kill('SIGTERM')
      stop()
      expect((await played).flat(), node.readOutput().slice(-1500)).to.deep.equal([])
      expect(await node.exited).to.equal(0)
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  }).timeout(RUNS * RUN_TIMEOUT_MS)
})
