import { connect } from 'node:net'
import { expect } from 'chai'
import { createRequestServer } from '../../src/requests/createRequestServer.js'
import {
  awaitCondition, closeAll, createTestMesh, describeRefusal, listenOnFreePort, send, startHttpServer, startNode
} from './fixtures.js'

/** More than the buffers of a connection hold, in bytes. */
const LARGE_ANSWER_BYTES = 20_000_000

describe('createRequestServer', () => {
  afterEach(closeAll)

  async function sendRaw (address: string, text: string): Promise<string> {
    const [host = '', port = ''] = address.split(':')
    return await new Promise((resolve) => {
      let response = ''
      const socket = connect(Number(port), host, () => { socket.write(text) })
      socket.on('data', (chunk) => { response += chunk.toString() })
      socket.on('error', () => undefined)
      socket.on('close', () => { resolve(response) })
    })
  }

  const cases: Array<[string, string]> = [
    ['bytes that are not HTTP', 'hello there\r\n\r\n'],
    ['two content-length headers', 'GET /clocks HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n'],
    ['content-length with chunked encoding', 'PUT /photos HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n'],
    ['an oversized head', `GET /clocks HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(5000)}\r\n\r\n`]
  ]
  for (const [name, text] of cases) {
    it(`responds to ${name} with 400 and counts it (guards against a crash and request smuggling)`, async () => {
      const mesh = createTestMesh()
      const node = await startNode(mesh, 'a', await startHttpServer((_incoming, outgoing) => outgoing.end('ok')))
      const response = await sendRaw(node.requests, text)
      expect(response).to.match(/^HTTP\/1\.1 400 .*snipenotch-outcome: unknown\r\nsnipenotch-reason: head-malformed/s)
      expect(node.context.counters.read('refusals', 'head-malformed')).to.equal(1)
      expect((await send(node.requests, 'GET', '/clocks')).status).to.equal(200)
    })
  }

  it('answers a request whose handling throws (guards against an error that ends the process)', async () => {
    const { context } = await startNode(createTestMesh(), 'a')
    const address = await listenOnFreePort(createRequestServer(context, () => { throw new Error('defect') }))
    expect(describeRefusal(await send(address, 'GET', '/clocks'))).to.equal('500 unknown internal-error')
  })

  it('closes the connection on a malformed head while a request is pending (guards against a refusal read as its response)', async () => {
    const mesh = createTestMesh()
    let reached = false
    const node = await startNode(mesh, 'a', await startHttpServer(() => { reached = true }))
    const [host = '', port = ''] = node.requests.split(':')
    let response = ''
    let closed = false
    const socket = connect(Number(port), host, () => { socket.write('GET /clocks HTTP/1.1\r\nhost: a\r\n\r\n') })
    socket.on('data', (chunk) => { response += chunk.toString() })
    socket.on('error', () => undefined)
    socket.on('close', () => { closed = true })
    await awaitCondition('the first request arrives', () => reached)
    socket.write('garbage\r\n\r\n')
    await awaitCondition('the connection closes', () => closed)
    expect(response).to.equal('')
  })
  it('closes the connection on a malformed head while only some pipelined requests have a response (guards against a refusal read as a pending response)', async () => {
    const mesh = createTestMesh()
    let seen = 0
    const node = await startNode(mesh, 'a', await startHttpServer((_incoming, outgoing) => {
      seen += 1
      if (seen === 1) outgoing.end('first')
    }))
    const [host = '', port = ''] = node.requests.split(':')
    let response = ''
    let closed = false
    const request = 'GET /clocks HTTP/1.1\r\nhost: a\r\n\r\n'
    const socket = connect(Number(port), host, () => { socket.write(request + request) })
    socket.on('data', (chunk) => { response += chunk.toString() })
    socket.on('error', () => undefined)
    socket.on('close', () => { closed = true })
    await awaitCondition('the second runs and the first is answered', () => seen === 2 && response.includes('first'))
    socket.write('garbage\r\n\r\n')
    await awaitCondition('the connection closes', () => closed)
    expect(response.match(/HTTP\/1\.1 /g)).to.have.length(1)
  })
  it('closes without the loss of a response that a caller reads late (guards against a response that is taken for delivered once it is composed)', async () => {
    const { context } = await startNode(createTestMesh(), 'a')
    let hasComposed = false
    const server = createRequestServer(context, (_incoming, outgoing) => {
      outgoing.end(Buffer.alloc(LARGE_ANSWER_BYTES, 'x'))
      hasComposed = true
    })
    const [host = '', port = ''] = (await listenOnFreePort(server)).split(':')
    const socket = connect(Number(port), host, () => { socket.write('GET /clocks HTTP/1.1\r\nhost: a\r\n\r\n') })
    socket.pause().on('error', () => undefined)
    await awaitCondition('it is answered', () => hasComposed)
    const closed = new Promise((resolve) => { server.close(resolve) })
    await new Promise((resolve) => { socket.on('close', resolve).resume() })
    expect(socket.bytesRead).to.be.greaterThan(LARGE_ANSWER_BYTES)
    await closed
  })
})
