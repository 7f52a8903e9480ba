import { toMilliseconds } from '@snipenotch/contracts'
import { PLATFORM_HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { type BackendClient, type BackendResult, createBackendClient } from '../../src/home/createBackendClient.js'
import type { BackendJob } from '../../src/home/BackendJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

const job = (attemptId: string, given: Partial<BackendJob> = {}): BackendJob => ({
  attemptId,
  service: 'clocks',
  callerService: 'parts',
  isInternal: false,
  isBodyFetched: false,
  route: 'r',
  priority: 1,
  idempotent: true,
  method: 'GET',
  target: '/clocks/1',
  headers: ['Host', 'a.example', PLATFORM_HEADERS.attemptId, attemptId],
  body: Buffer.alloc(0),
  arrivedAt: toMilliseconds(0),
  targetAt: toMilliseconds(0),
  deadlineAt: toMilliseconds(0),
  targetLatencyMs: 200,
  ...given
})

const head = (attemptId: string, more: string): string =>
  `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.attemptId}: ${attemptId}\r\n${PLATFORM_HEADERS.signature}: s\r\n${more}\r\n`

/** Writes `first`, then `more` repeatedly until the connection is closed. */
function sendOn (socket: Socket, first: string, more: string): void {
  socket.write(first)
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(more));
  }
  socket.on('drain', sendMore)
  sendMore()
}

describe('createBackendClient', () => {
  let server: Server
  let client: BackendClient
  let connections: number
  let handle: (socket: Socket, text: string) => void

  beforeEach(async () => {
    connections = 0
    server = createServer((socket) => {
      connections += 1
      socket.on('error', () => undefined)
      socket.on('data', (data) => { handle(socket, data.toString()) })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    client = createBackendClient(createTestContext({ backend: { host: '127.0.0.1', port } }))
  })
  afterEach(() => {
    client.close()
    server.close()
  })

  const call = (given: BackendJob): Promise<BackendResult> =>
    new Promise((resolve) => { client.call(given, 'i-1', 500, resolve) })

  /** Answers requests on all connections but those in `silent`; `open` are the ones seen so far. */
  function answerUnlessSilent (): { readonly silent: Set<Socket>, readonly open: Set<Socket> } {
    const silent = new Set<Socket>()
    const open = new Set<Socket>()
    handle = (socket, text) => {
      open.add(socket)
      const attemptId = /attempt-id: (\S+)/i.exec(text)?.[1] ?? ''
      if (!silent.has(socket)) setTimeout(() => { socket.write(head(attemptId, 'Content-Length: 2\r\n') + 'ok') }, 20)
    }
    return { silent, open }
  }

  it('uses new connections after one that is silent (guards against requests lost on each silent connection)', async () => {
    const { silent, open } = answerUnlessSilent()
    await Promise.all(['a', 'b', 'c', 'd'].map((id) => call(job(id))))
    for (const socket of open) silent.add(socket)
    expect((await call(job('e'))).kind).to.equal('lost')
    expect((await call(job('f'))).kind).to.equal('answered')
    expect(connections).to.equal(5)
  })

  it('finds silent connections together before any deadline (guards against slots taken by lost requests and idle connections that lose more)', async () => {
    const { silent, open } = answerUnlessSilent()
    const callFor = (given: BackendJob, onSilent?: () => void): Promise<BackendResult> =>
      new Promise((resolve) => { client.call(given, 'i-1', 20_000, resolve, onSilent) })
    await Promise.all(['a', 'b', 'c', 'd'].map((id) => callFor(job(id))))
    for (const socket of open) silent.add(socket)
    let freed = 0
    let ended = 0
    for (const id of ['e', 'f']) {
      callFor(job(id), () => { freed += 1 }).then(() => { ended += 1 }, () => undefined)
    }
    await awaitCondition('the idle connections are closed', () => [...open].filter(({ closed }) => closed).length === 2)
    expect(await callFor(job('g'))).to.include({ kind: 'answered' })
    await awaitCondition('both slots are free', () => freed === 2)
    expect({ ended, connections }).to.deep.equal({ ended: 0, connections: 5 })
  })

  it('sends the instance and the remaining time, and returns the complete response', async () => {
    let seen = ''
    handle = (socket, text) => {
      seen = text
      socket.write(head('a', 'Content-Length: 2\r\nX-Own: 1\r\n') + 'ok')
    }
    const result = await call(job('a'))
    expect(seen.toLowerCase()).to.include(`${PLATFORM_HEADERS.targetInstance}: i-1`).and.include(`${PLATFORM_HEADERS.remainingMs}: 500`)
    expect(result).to.include({ kind: 'answered', status: 200, notRun: false })
    expect(result.kind === 'answered' && result.body.toString()).to.equal('ok')
  })

  it('accepts a response without a length as complete when its connection is closed cleanly', async () => {
    handle = (socket) => { socket.end(head('a', '') + 'whole') }
    const result = await call(job('a'))
    expect(result.kind === 'answered' && result.body.toString()).to.equal('whole')
  })

  const truncations: Array<[string, (socket: Socket) => void]> = [
    ['a response without a length whose connection is reset', (socket) => {
      socket.write(head('a', '') + 'part', () => { setTimeout(() => { socket.resetAndDestroy() }, 20) })
    }],
    ['a response without a length whose connection is reset along with its last bytes', (socket) => {
      socket.write(head('a', '') + 'part', () => { socket.resetAndDestroy() })
    }],
    ['a response shorter than its content length', (socket) => { socket.end(head('a', 'Content-Length: 9\r\n') + 'part') }],
    ['a response that is truncated between chunks', (socket) => {
      socket.end(head('a', 'Transfer-Encoding: chunked\r\n') + '4\r\npart\r\n')
    }]
  ]
  for (const [title, respond] of truncations) {
    it(`reports ${title} as lost (guards against a truncated response that looks complete)`, async () => {
      handle = respond
      expect(await call(job('a'))).to.include({ kind: 'lost' })
    })
  }

  const cutUploads: Array<[string, (socket: Socket) => void]> = [
    ['resets the connection', (socket) => { socket.write(head('a', '') + 'part', () => { socket.resetAndDestroy() }) }],
    ['closes the connection with unread bytes', (socket) => { socket.write(head('a', '') + 'part', () => { socket.destroy() }) }],
    ['ends its side and resets the connection', (socket) => {
      socket.end(head('a', '') + 'part', () => { setTimeout(() => { socket.resetAndDestroy() }, 5) })
    }]
  ]
  for (const [title, respond] of cutUploads) {
    it(`reports a part of a response without a length as lost if the server ${title} during the upload (guards against a part taken for a whole response)`, async () => {
      const body = Buffer.alloc(8_000_000, 'x')
      for (let round = 0; round < 20; round += 1) {
        handle = (socket) => {
          handle = () => undefined
          socket.pause()
          respond(socket)
        }
        expect(await call(job('a', { method: 'POST', body })), `round ${round}`).to.include({ kind: 'lost' })
      }
    }).timeout(20_000)
  }

  const faulty: Array<[string, string, string]> = [
    ['the response to another request', head('b', 'Content-Length: 2\r\n') + 'ok', 'answer-mismatched'],
    ['a response with a content encoding', head('a', 'Content-Encoding: gzip\r\nContent-Length: 2\r\n') + 'ok', 'answer-mismatched'],
    ['a successful response without a signature', `HTTP/1.1 200 OK\r\n${PLATFORM_HEADERS.attemptId}: a\r\nContent-Length: 0\r\n\r\n`, 'answer-unsigned'],
    ['a response with an impossible status', head('a', 'Content-Length: 2\r\n').replace('200', '000') + 'ok', 'answer-malformed'],
    ['a final response with an interim status', head('a', 'Content-Length: 2\r\n').replace('200', '101') + 'ok', 'answer-malformed'],
    ['a response with a blank in the name of a header', head('a', 'X Own: 1\r\nContent-Length: 2\r\n') + 'ok', 'answer-malformed'],
    ['a response with a nameless header', head('a', ': 1\r\nContent-Length: 2\r\n') + 'ok', 'answer-malformed'],
    ['a response with a control character in a header', head('a', 'X-Own: \x01\r\nContent-Length: 2\r\n') + 'ok', 'answer-malformed'],
    ['a response behind an interim one with a malformed header', 'HTTP/1.1 100 Continue\r\nX\r\n\r\n' + head('a', 'Content-Length: 2\r\n') + 'ok', 'answer-malformed'],
    ['a response that switches protocols', 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n', 'connection-lost'],
    ['bytes that are not an HTTP response', 'garbage\r\n\r\n', 'connection-lost']
  ]
  for (const [title, text, reason] of faulty) {
    it(`rejects ${title}`, async () => {
      handle = (socket) => { socket.write(text) }
      expect(await call(job('a'))).to.include({ kind: 'lost', reason })
    })
  }

  const endless: Array<[string, (socket: Socket) => void, string]> = [
    ['an endless response head', (socket) => { sendOn(socket, 'HTTP/1.1 200 OK\r\n', 'X-More: more\r\n'.repeat(100)) }, 'connection-lost'],
    ['an endless series of interim responses', (socket) => { sendOn(socket, '', 'HTTP/1.1 100 Continue\r\n\r\n') }, 'deadline'],
    ['an endless body', (socket) => { sendOn(socket, head('a', ''), 'x'.repeat(65_536)) }, 'answer-endless'],
    ['an endless chunked body', (socket) => {
      sendOn(socket, head('a', 'Transfer-Encoding: chunked\r\n'), `10000\r\n${'x'.repeat(65_536)}\r\n`)
    }, 'answer-endless'],
    ['an endless body that is sent slowly', (socket) => {
      socket.write(head('a', ''))
      const timer = setInterval(() => { socket.write('x') }, 20)
      socket.on('close', () => { clearInterval(timer) })
    }, 'deadline'],
    ['a request without a response', () => undefined, 'deadline']
  ]
  for (const [title, send, reason] of endless) {
    it(`aborts ${title}, for non-idempotent requests as well (guards against a slot that is never released)`, async () => {
      let isClosed = false
      handle = (socket) => {
        socket.on('close', () => { isClosed = true })
        send(socket)
      }
      expect(await call(job('a', { method: 'POST', idempotent: false }))).to.include({ kind: 'lost', reason })
      await awaitCondition('the connection is closed', () => isClosed)
    })
  }

  it('drops a connection on which data follows a response (guards against a late response taken for that of the next request)', async () => {
    handle = (socket, text) => {
      const id = /attempt-id: (\w+)/i.exec(text)?.[1] ?? ''
      socket.write(head(id, 'Content-Length: 2\r\n') + 'ok')
      if (id === 'a') setTimeout(() => { socket.write(head('a', 'Content-Length: 2\r\n') + 'no') }, 10)
    }
    await call(job('a'))
    await new Promise((resolve) => { setTimeout(resolve, 40) })
    expect(await call(job('b'))).to.include({ kind: 'answered' })
    expect(connections).to.equal(2)
  })

  const refusal = (attemptId: string): string => 'HTTP/1.1 503 Service Unavailable\r\n' +
    `${PLATFORM_HEADERS.attemptId}: ${attemptId}\r\n${PLATFORM_HEADERS.notRun}: full\r\nContent-Length: 0\r\n\r\n`

  const repeats: Array<[string, (socket: Socket) => void]> = [
    ['right after the first one', (socket) => { socket.write(refusal('a') + refusal('a')) }],
    ['while the connection is idle', (socket) => {
      socket.write(refusal('a'))
      setTimeout(() => { socket.write(refusal('a')) }, 10)
    }],
    ['as the next request arrives', (socket) => {
      socket.write(refusal('a'))
      socket.once('data', () => { socket.write(refusal('a')) })
    }]
  ]
  for (const [title, refuse] of repeats) {
    it(`ignores a duplicate refusal of an earlier request that arrives ${title} (guards against "not run" for a request that runs)`, async () => {
      handle = (socket, text) => {
        if (text.includes(`${PLATFORM_HEADERS.attemptId}: a`)) refuse(socket)
        else setTimeout(() => { socket.write(head('b', 'Content-Length: 2\r\n') + 'ok') }, 20)
      }
      expect(await call(job('a'))).to.include({ kind: 'answered', status: 503, notRun: true })
      if (title === 'while the connection is idle') await new Promise((resolve) => { setTimeout(resolve, 40) })
      const next = await call(job('b', { method: 'POST', idempotent: false }))
      expect(next.kind === 'answered' && next.notRun).to.equal(false)
    })
  }

  it('reports a response whose head is truncated at any byte as lost (guards against a success with an empty body)', async () => {
    const text = head('a', 'Content-Length: 2\r\n')
    for (let length = 0; length < text.length; length++) {
      handle = (socket) => { socket.end(text.slice(0, length)) }
      expect(await call(job('a')), `after ${length} bytes`).to.include({ kind: 'lost' })
    }
  })

  it('reports a response without a length whose head is truncated as lost (guards against a success with an empty body)', async () => {
    const text = head('a', 'X-Own: 1\r\n')
    for (let length = 0; length < text.length; length++) {
      handle = (socket) => { socket.end(text.slice(0, length)) }
      expect(await call(job('a')), `after ${length} bytes`).to.include({ kind: 'lost' })
    }
  })

  it('does not reuse a connection whose long request body has not been read (guards against request smuggling)', async () => {
    const received: string[] = []
    handle = (socket, text) => {
      received.push(text)
      const id = /attempt-id: (\w+)/i.exec(text)?.[1]
      if (id === 'a') socket.pause()
      if (id !== undefined) socket.write(head(id, 'Content-Length: 2\r\n') + 'ok')
    }
    const body = Buffer.alloc(4_000_000, 'x')
    await call(job('a', { method: 'POST', body }))
    await call(job('b'))
    expect(connections).to.equal(2)
  })

  const unsendable: Array<[string, Partial<BackendJob>]> = [
    ['a blank in the name of a header', { headers: ['X Own', '1'] }],
    ['a line break in a header', { headers: ['X-Own', 'a\r\nb'] }],
    ['a tab in the target', { target: '/a\tb' }]
  ]
  for (const [title, given] of unsendable) {
    it(`reports a request with ${title} as malformed (guards against an error in place of a result)`, async () => {
      handle = (socket) => { socket.destroy() }
      expect(await call(job('a', given))).to.include({ kind: 'malformed' })
      client.call(job('b', given), 'i-1', 500, () => { throw new Error('reported after its abort') }).abort()
      await new Promise((resolve) => { setTimeout(resolve, 20) })
      expect(connections).to.equal(0)
    })
  }

  it('reports a refused connection as not run', async () => {
    await new Promise((resolve) => { server.close(resolve) })
    expect(await call(job('a'))).to.include({ kind: 'unreachable' })
  })
})
