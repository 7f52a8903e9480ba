import { toMilliseconds } from '@snipenotch/contracts'
import { HEADERS } from '@snipenotch/platform'
import { expect } from 'chai'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { type BackendCaller, type BackendResult, createBackendCaller } from '../../src/home/createBackendCaller.js'
import type { HomeJob } from '../../src/home/HomeJob.js'
import { createTestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

const job = (attemptId: string, given: Partial<HomeJob> = {}): HomeJob => ({
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
  headers: ['Host', 'a.example', HEADERS.attemptId, attemptId],
  body: Buffer.alloc(0),
  arrivedAt: toMilliseconds(0),
  targetAt: toMilliseconds(0),
  endAt: toMilliseconds(0),
  targetLatencyMs: 200,
  ...given
})

const head = (attemptId: string, more: string): string =>
  `HTTP/1.1 200 OK\r\n${HEADERS.attemptId}: ${attemptId}\r\n${HEADERS.signature}: s\r\n${more}\r\n`

/** Writes `first`, then `more` again and again until the connection is closed. */
function sendOn (socket: Socket, first: string, more: string): void {
  socket.write(first)
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(more));
  }
  socket.on('drain', sendMore)
  sendMore()
}

describe('createBackendCaller', () => {
  let server: Server
  let caller: BackendCaller
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
    caller = createBackendCaller(createTestContext({ backend: { host: '127.0.0.1', port } }))
  })
  afterEach(() => {
    caller.close()
    server.close()
  })

  const call = (given: HomeJob): Promise<BackendResult> =>
    new Promise((resolve) => { caller.call(given, 'i-1', 500, resolve) })

  it('sends the instance and the remaining time, and returns the answer whole', async () => {
    let seen = ''
    handle = (socket, text) => {
      seen = text
      socket.write(head('a', 'Content-Length: 2\r\nX-Own: 1\r\n') + 'ok')
    }
    const result = await call(job('a'))
    expect(seen.toLowerCase()).to.include(`${HEADERS.targetInstance}: i-1`).and.include(`${HEADERS.remainingMs}: 500`)
    expect(result).to.include({ kind: 'answered', status: 200, notRun: false })
    expect(result.kind === 'answered' && result.body.toString()).to.equal('ok')
  })

  it('takes an answer without length as whole when its connection ends cleanly', async () => {
    handle = (socket) => { socket.end(head('a', '') + 'whole') }
    const result = await call(job('a'))
    expect(result.kind === 'answered' && result.body.toString()).to.equal('whole')
  })

  const cuts: Array<[string, (socket: Socket) => void]> = [
    ['an answer without length whose connection is reset', (socket) => {
      socket.write(head('a', '') + 'part', () => { setTimeout(() => { socket.resetAndDestroy() }, 20) })
    }],
    ['an answer without length that is reset with its last bytes', (socket) => {
      socket.write(head('a', '') + 'part', () => { socket.resetAndDestroy() })
    }],
    ['an answer shorter than its length', (socket) => { socket.end(head('a', 'Content-Length: 9\r\n') + 'part') }],
    ['an answer that breaks off between chunks', (socket) => {
      socket.end(head('a', 'Transfer-Encoding: chunked\r\n') + '4\r\npart\r\n')
    }]
  ]
  for (const [title, cut] of cuts) {
    it(`reports ${title} as lost (guards against a part that looks complete)`, async () => {
      handle = cut
      expect(await call(job('a'))).to.include({ kind: 'lost' })
    })
  }

  const faulty: Array<[string, string, string]> = [
    ['the answer of another request', head('b', 'Content-Length: 2\r\n') + 'ok', 'answer-mismatched'],
    ['an encoded answer', head('a', 'Content-Encoding: gzip\r\nContent-Length: 2\r\n') + 'ok', 'answer-mismatched'],
    ['a success without signature', `HTTP/1.1 200 OK\r\n${HEADERS.attemptId}: a\r\nContent-Length: 0\r\n\r\n`, 'answer-unsigned'],
    ['bytes that are no answer', 'garbage\r\n\r\n', 'connection-lost']
  ]
  for (const [title, text, reason] of faulty) {
    it(`rejects ${title}`, async () => {
      handle = (socket) => { socket.write(text) }
      expect(await call(job('a'))).to.include({ kind: 'lost', reason })
    })
  }

  const endless: Array<[string, (socket: Socket) => void, string]> = [
    ['a head without end', (socket) => { sendOn(socket, 'HTTP/1.1 200 OK\r\n', 'X-More: more\r\n'.repeat(100)) }, 'connection-lost'],
    ['an interim head without end', (socket) => { sendOn(socket, '', 'HTTP/1.1 100 Continue\r\n\r\n') }, 'deadline'],
    ['a body without end', (socket) => { sendOn(socket, head('a', ''), 'x'.repeat(65_536)) }, 'answer-endless'],
    ['a chunked body without end', (socket) => {
      sendOn(socket, head('a', 'Transfer-Encoding: chunked\r\n'), `10000\r\n${'x'.repeat(65_536)}\r\n`)
    }, 'answer-endless'],
    ['a slow body without end', (socket) => {
      socket.write(head('a', ''))
      const timer = setInterval(() => { socket.write('x') }, 20)
      socket.on('close', () => { clearInterval(timer) })
    }, 'deadline'],
    ['silence', () => undefined, 'deadline']
  ]
  for (const [title, send, reason] of endless) {
    it(`ends ${title}, for requests that must run at most once too (guards against a slot that is never free)`, async () => {
      let isClosed = false
      handle = (socket) => {
        socket.on('close', () => { isClosed = true })
        send(socket)
      }
      expect(await call(job('a', { method: 'POST', idempotent: false }))).to.include({ kind: 'lost', reason })
      await awaitCondition('the connection is closed', () => isClosed)
    })
  }

  it('drops a connection on which bytes arrive behind an answer (guards against a late answer taken for the next)', async () => {
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
    `${HEADERS.attemptId}: ${attemptId}\r\n${HEADERS.notRun}: full\r\nContent-Length: 0\r\n\r\n`

  const repeats: Array<[string, (socket: Socket) => void]> = [
    ['behind itself', (socket) => { socket.write(refusal('a') + refusal('a')) }],
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
    it(`believes no refusal of an earlier request that comes again ${title} (guards against "not run" for what runs)`, async () => {
      handle = (socket, text) => {
        if (text.includes(`${HEADERS.attemptId}: a`)) refuse(socket)
        else setTimeout(() => { socket.write(head('b', 'Content-Length: 2\r\n') + 'ok') }, 20)
      }
      expect(await call(job('a'))).to.include({ kind: 'answered', status: 503, notRun: true })
      if (title === 'while the connection is idle') await new Promise((resolve) => { setTimeout(resolve, 40) })
      const next = await call(job('b', { method: 'POST', idempotent: false }))
      expect(next.kind === 'answered' && next.notRun).to.equal(false)
    })
  }

  it('takes no answer as whole whose head breaks off, wherever that is (guards against a success with an empty body)', async () => {
    const text = head('a', 'Content-Length: 2\r\n')
    for (let length = 0; length < text.length; length++) {
      handle = (socket) => { socket.end(text.slice(0, length)) }
      expect(await call(job('a')), `after ${length} bytes`).to.include({ kind: 'lost' })
    }
  })

  it('takes no answer as whole whose head breaks off without a length (guards against a success with an empty body)', async () => {
    const text = head('a', 'X-Own: 1\r\n')
    for (let length = 0; length < text.length; length++) {
      handle = (socket) => { socket.end(text.slice(0, length)) }
      expect(await call(job('a')), `after ${length} bytes`).to.include({ kind: 'lost' })
    }
  })

  it('does not send another request on a connection whose long body is not read yet (guards against smuggled bytes)', async () => {
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

  it('reports a refused connection as not run', async () => {
    await new Promise((resolve) => { server.close(resolve) })
    expect(await call(job('a'))).to.include({ kind: 'unreachable' })
  })
})
