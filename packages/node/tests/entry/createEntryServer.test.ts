import { addMilliseconds } from '@snipenotch/contracts'
import { OPERATOR_TABLE, PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import type { StartExchange } from '../../src/entry/createExchange.js'
import { createEntryServer, type EntryServer } from '../../src/entry/createEntryServer.js'
import { createRetryBudgets } from '../../src/entry/createRetryBudgets.js'
import { createMeshView } from '../../src/rows/createMeshView.js'
import { createTestContext, type TestContext } from '../createTestContext.js'
import { awaitCondition, send } from '../startTestMesh.js'

/** Connection of a caller that stays open until the server ends it. */
interface CallerConnection {
  readonly socket: Socket
  readonly read: () => string
  /** Resolves when the server ends the connection; rejects if it resets it. */
  readonly ended: Promise<void>
}

function openConnection (port: number): CallerConnection {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true, noDelay: true })
  let text = ''
  socket.on('data', (data) => { text += data.toString() })
  const ended = new Promise<void>((resolve, reject) => { socket.once('end', resolve).once('error', reject) })
  return { socket, read: () => text, ended }
}

const awaitPause = (): Promise<unknown> => new Promise((resolve) => { setTimeout(resolve, 30) })

const listStatuses = (text: string): number[] => [...text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, status]) => Number(status))

describe('createEntryServer', () => {
  let context: TestContext
  let entry: EntryServer
  let port: number
  let startExchange: StartExchange

  beforeEach(async () => {
    context = createTestContext()
    startExchange = () => { throw new Error('defect') }
    const view = createMeshView(context, () => undefined)
    const value = JSON.stringify(composePlatformConfiguration(1, ['parts']))
    view.apply([{ table: OPERATOR_TABLE, key: 'config', value, version: 1 }])
    entry = createEntryServer({
      context,
      view,
      startExchange: (request, onResult) => startExchange(request, onResult),
      retryBudgets: createRetryBudgets(context, () => 1),
      getCopyAgeMs: () => 0,
      isRevocationKnown: () => true
    })
    await new Promise<void>((resolve) => { entry.server.listen(0, '127.0.0.1', resolve) })
    port = (entry.server.address() as AddressInfo).port
  })
  afterEach(() => { entry.server.close() })

  it('answers a request whose handling throws (guards against a caller that waits until its deadline)', async () => {
    expect((await send(port, '/parts/1')).status).to.equal(502)
    expect(entry.countOpen()).to.equal(0)
    expect(context.events.map(({ name }) => name)).to.include('internalError')
  })

  it('answers a request at its deadline although its cancellation throws (guards against a caller that waits for good)', async () => {
    startExchange = () => ({ cancel: () => { throw new Error('defect') }, getHost: () => undefined })
    const answer = await send(port, '/parts/1', { [PLATFORM_HEADERS.remainingMs]: '100' })
    expect(answer.status).to.be.oneOf([502, 504])
    expect(entry.countOpen()).to.equal(0)
  })

  it('answers 502 for a result with a status that no response can have (guards against status 000 sent to a caller)', async () => {
    for (const status of [0, 101, 1000]) {
      startExchange = (_, onResult) => {
        const outcome = { kind: 'answered', status, headers: [], body: Buffer.from('x'), notRun: false, load: undefined } as const
        setImmediate(() => { onResult({ outcome, host: 'krakow-2', tries: 1 }) })
        return { cancel: () => false, getHost: () => undefined }
      }
      expect((await send(port, '/parts/1')).status, `status ${status}`).to.equal(502)
    }
  })

  const malformed: Array<[string, number, string[]]> = [
    ['status', 0, []], ['header name', 200, ['X Own', '1']], ['header value', 200, ['X-Own', 'a\r\nb']]
  ]
  for (const [title, status, headers] of malformed) {
    it(`answers a request whose response from another node has an invalid ${title} (guards against requests that are never answered)`, async () => {
      startExchange = (_, onResult) => {
        const outcome = { kind: 'answered', status, headers, body: Buffer.from('ok'), notRun: false } as const
        onResult({ outcome, host: 'krakow-2', tries: 1 })
        return { cancel: () => false, getHost: () => undefined }
      }
      expect((await send(port, '/parts/1')).status).to.equal(502)
      expect(entry.countOpen()).to.equal(0)
      expect(context.counters.read('serving_losses', 'answer-malformed')).to.equal(1)
    })
  }

  it('lets a caller that goes on sending read the 400 to its malformed head (guards against a response lost in a reset)', async () => {
    const { socket, read, ended } = openConnection(port)
    socket.write('malformed\r\n\r\n')
    await ended
    for (let count = 0; count < 3; count++) {
      socket.write('more\r\n\r\n')
      await awaitPause()
    }
    expect(socket.errored).to.equal(null)
    expect(listStatuses(read())).to.deep.equal([400])
    expect(context.counters.read('serving_refusals', 'malformed')).to.equal(1)
    socket.end()
    await awaitCondition('the connection is closed', () => entry.countConnections() === 0)
  })

  const heads: Array<[string, string, number]> = [
    ['a blank in the name of a header', 'GET /parts/bad HTTP/1.1\r\nHost: a.example\r\nX Own: 1\r\n\r\n', 400],
    ['a tab in the target', 'GET /parts/b\tad HTTP/1.1\r\nHost: a.example\r\n\r\n', 400],
    ['a control character in a header', 'GET /parts/bad HTTP/1.1\r\nHost: a.example\r\nX-Own: \x01\r\n\r\n', 400],
    ['a line without a colon', 'GET /parts/bad HTTP/1.1\r\nHost: a.example\r\nX-Own\r\n\r\n', 400],
    ['no protocol', 'GET /parts/bad malformed\r\n\r\n', 400],
    ['too many bytes', `GET /parts/bad HTTP/1.1\r\nHost: a.example\r\nX-Own: ${'x'.repeat(70_000)}\r\n\r\n`, 431]
  ]
  for (const isStopping of [false, true]) {
    for (const [title, malformedHead, status] of heads) {
      it(`answers a head with ${title} behind the open requests of its connection${isStopping ? ', and stops' : ''} (guards against responses lost or out of order)`, async () => {
        const started = new Map<string, () => void>()
        startExchange = ({ attemptId }, onResult) => {
          const headers = [PLATFORM_HEADERS.attemptId, attemptId]
          const outcome = { kind: 'answered', status: 200, headers, body: Buffer.from('ok'), notRun: false } as const
          started.set(attemptId, () => { onResult({ outcome, host: 'krakow-2', tries: 1 }) })
          return { cancel: () => false, getHost: () => undefined }
        }
        const { socket, read, ended } = openConnection(port)
        const compose = (id: string): string =>
          `GET /parts/${id} HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: ${id}\r\n\r\n`
        socket.write(compose('first') + compose('second') + malformedHead)
        await awaitCondition('the head is found malformed', () => context.counters.read('serving_refusals', 'malformed') === 1)
        socket.write(compose('hidden'))
        await awaitPause()
        const now = context.clock.now()
        if (isStopping) entry.stop({ lateFrom: now, answerBy: addMilliseconds(now, 10_000) })
        await awaitCondition('both run', () => started.size === 2)
        started.get('second')?.()
        await awaitPause()
        expect(read()).to.equal('')
        started.get('first')?.()
        await ended
        expect(listStatuses(read())).to.deep.equal([200, 200, status])
        expect([...read().matchAll(/attempt-id: (\w+)/g)].map(([, id]) => id)).to.deep.equal(['first', 'second'])
        expect([...read().matchAll(/connection: (\S+)/gi)].map(([, option]) => option)).to.deep.equal(['keep-alive', 'keep-alive', 'close'])
        expect(started).to.have.all.keys('first', 'second')
        expect(context.counters.read('serving_refusals', 'malformed')).to.equal(1)
        expect(socket.errored).to.equal(null)
        socket.end()
        await awaitCondition('the connection is closed', () => entry.countConnections() === 0)
      })
    }
  }

  const chunked = 'Transfer-Encoding: chunked\r\n\r\n'
  const bodies: Array<[string, string[]]> = [
    ['a malformed first chunk size', [`${chunked}malformed\r\n`]],
    ['a malformed later chunk size', [`${chunked}3\r\nabc\r\n`, 'malformed\r\n']],
    ['a chunk that is longer than stated', [`${chunked}3\r\nabcdef\r\n0\r\n\r\n`]],
    ['a blank in the name of a trailer', [`${chunked}3\r\nabc\r\n0\r\n`, 'X Own: 1\r\n\r\n']]
  ]
  for (const [title, parts] of bodies) {
    it(`answers a request with ${title} behind the open ones of its connection (guards against requests that are never ended)`, async () => {
      let answerFirst: (() => void) | undefined
      const started: string[] = []
      startExchange = ({ attemptId }, onResult) => {
        started.push(attemptId)
        const outcome = { kind: 'answered', status: 200, headers: [], body: Buffer.from('ok'), notRun: false } as const
        answerFirst = () => { onResult({ outcome, host: 'krakow-2', tries: 1 }) }
        return { cancel: () => false, getHost: () => undefined }
      }
      const { socket, read, ended } = openConnection(port)
      socket.write(`GET /parts/1 HTTP/1.1\r\nHost: a.example\r\n${PLATFORM_HEADERS.attemptId}: first\r\n\r\n`)
      socket.write('POST /parts/2 HTTP/1.1\r\nHost: a.example\r\n')
      for (const part of parts) {
        socket.write(part)
        await awaitPause()
      }
      await awaitCondition('the body is found malformed', () => context.counters.read('serving_refusals', 'malformed') === 1)
      expect(context.buffers.getBytes()).to.equal(0)
      socket.write('GET /parts/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n')
      answerFirst?.()
      await ended
      expect(listStatuses(read())).to.deep.equal([200, 400])
      expect(started).to.deep.equal(['first'])
      socket.end()
      await awaitCondition('the connection is closed', () => entry.countConnections() === 0)
      expect(entry.countOpen()).to.equal(0)
      expect(context.counters.read('serving_refusals', 'malformed')).to.equal(1)
    })
  }

  it('sends one response to a request that is refused before its body turns malformed (guards against a response that belongs to no request)', async () => {
    const { socket, read, ended } = openConnection(port)
    const tooLarge = `30000\r\n${'x'.repeat(0x30000)}\r\n`
    socket.write(`POST /parts/1 HTTP/1.1\r\nHost: a.example\r\n${chunked}${tooLarge}`)
    await awaitCondition('it is refused', () => read() !== '')
    socket.write('malformed\r\n')
    await ended
    expect(listStatuses(read())).to.deep.equal([413])
    socket.end()
    await awaitCondition('the connection is closed', () => entry.countConnections() === 0)
  })

  it('sends nothing behind the last response of a connection (guards against a response that belongs to no request)', async () => {
    const { socket, read, ended } = openConnection(port)
    socket.write('GET /parts/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\nmalformed\r\n\r\n')
    await ended
    expect(listStatuses(read())).to.deep.equal([502])
    socket.end()
  })
})
