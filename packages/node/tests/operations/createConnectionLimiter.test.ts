import { expect } from 'chai'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { createConnectionLimiter } from '../../src/operations/createConnectionLimiter.js'
import { createTestContext, createTestSettings, type TestContext } from '../createTestContext.js'
import { awaitCondition } from '../startTestMesh.js'

describe('createConnectionLimiter', () => {
  let server: Server
  let context: TestContext
  let port: number
  /** Paths and body lengths in the order of their arrival. */
  let seen: string[]
  let waiting: Array<() => void>
  let sockets: Socket[]
  let responseBytes: number

  async function start (given: object): Promise<void> {
    seen = []
    waiting = []
    sockets = []
    responseBytes = 0
    const { connectionLimits } = createTestSettings()
    context = createTestContext({ connectionLimits: { ...connectionLimits, ...given } })
    server = createServer((incoming, response: ServerResponse) => {
      let size = 0
      incoming.on('data', (chunk: Buffer) => { size += chunk.length })
      incoming.on('end', () => {
        seen.push(`${incoming.url ?? ''} ${size}`)
        waiting.push(() => { response.end((incoming.url ?? '') + 'x'.repeat(responseBytes)) })
      })
    })
    const unused = createServer()
    createConnectionLimiter(context).attach({
      callers: server, requests: unused, peers: unused, reports: unused, readiness: unused, metrics: unused
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    port = (server.address() as AddressInfo).port
  }

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.closeAllConnections()
    server.close()
    context.ticker.close()
  })

  function open (): Socket {
    const socket = connect(port, '127.0.0.1')
    socket.on('error', () => undefined)
    sockets.push(socket)
    return socket
  }

  const compose = (path: number, body = ''): string =>
    `POST /${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`

  it('holds requests beyond the limit of a connection and serves all of them in order (guards against a paused connection that does not resume)', async () => {
    await start({ connectionRequests: 4 })
    const socket = open()
    let text = ''
    socket.on('data', (data) => { text += data.toString() })
    // Bodies larger than a slice are paused in their middle.
    const sizes = Array.from({ length: 100 }, (_, index) => index % 10 === 0 ? 50_000 : index)
    socket.write(sizes.map((size, index) => compose(index, 'b'.repeat(size))).join(''))
    let most = 0
    await awaitCondition('all requests are served', () => {
      most = Math.max(most, waiting.length)
      waiting.shift()?.()
      return text.includes('/99')
    })
    expect(seen).to.deep.equal(sizes.map((size, index) => `/${index} ${size}`))
    expect(text.match(/\/\d+/g)?.filter((path) => path !== '/1.1' && path !== '/1'))
      .to.deep.equal(sizes.map((_, index) => `/${index}`).filter((path) => path !== '/1'))
    // A slice may hold some requests more.
    expect(most).to.be.lessThan(40)
  }).timeout(20_000)

  it('closes a connection whose client reads nothing for long, and no other (guards against memory that is held forever)', async () => {
    await start({ stallMs: 300 })
    responseBytes = 16_000_000
    const hostile = open()
    const slow = open()
    hostile.pause()
    slow.resume()
    hostile.write(compose(1))
    slow.write(compose(2))
    await awaitCondition('both wait', () => waiting.length === 2)
    // The response of an ordinary request may take longer than that.
    await new Promise((resolve) => { setTimeout(resolve, 600) })
    for (const respond of waiting) respond()
    await awaitCondition('the connection is closed', () => context.events.some(({ name }) => name === 'connectionStalled'))
    await awaitCondition('the other one has its response', () => slow.bytesRead > responseBytes)
    expect(context.counters.read('connection_closes', 'stalled')).to.equal(1)
  }).timeout(20_000)

  it('makes room for new connections by closing the one that holds most (guards against a listener that clients occupy)', async () => {
    await start({ connections: 10 })
    const first = open()
    await awaitCondition('it is accepted', () => first.readyState === 'open')
    const hostile = open()
    hostile.write(compose(1) + compose(2))
    await awaitCondition('it is read', () => seen.length === 2)
    // Callers have 64 of 100 connections.
    for (let index = 0; index < 5; index += 1) open().write(compose(10 + index))
    await awaitCondition('the new ones are served', () => seen.length === 7)
    await awaitCondition('the hostile one is closed', () => hostile.destroyed || hostile.readableEnded)
    expect([first.destroyed, context.counters.read('connection_closes', 'evicted')]).to.deep.equal([false, 1])
  }).timeout(20_000)
})
