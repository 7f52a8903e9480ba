import type { Socket } from 'node:net'
import { expect } from 'chai'
import fc from 'fast-check'
import {
  addEndpoint, closeAll, createTestMesh, describeRefusal, send, startNode, startTcpServer, type TestMesh, type TestNode
} from './fixtures.js'
import { replaceBytes, requestHeads, responseHeads, sendBytes } from './headFixtures.js'

const SEED = 20_261_206
const RUNS = 40
const TEST_TIMEOUT_MS = 120_000
/** More requests than the backend server has slots. */
const REQUESTS = 25
/** Time within which a request that is sent as bytes gets a response, in milliseconds. */
const RESPONSE_LIMIT_MS = 1500

describe('heads that cannot be passed on', () => {
  let mesh: TestMesh
  let entry: TestNode
  let home: TestNode
  /** Paths of the requests that the backend server received. */
  let seen: string[]
  let respond: (socket: Socket) => void

  const respondWell = (socket: Socket): void => { socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok') }
  const nodes = (): TestNode[] => [entry, home]
  const sendTo = (address: string, text: string): Promise<string | undefined> =>
    sendBytes(Number(address.split(':')[1]), text, RESPONSE_LIMIT_MS)

  /** Sends a proper request through each node. */
  const askAll = async (): Promise<number[]> =>
    (await Promise.all(nodes().map(({ requests }) => send(requests, 'GET', '/clocks/sound')))).map(({ status }) => status)

  beforeEach(async () => {
    mesh = createTestMesh()
    seen = []
    respond = respondWell
    entry = await startNode(mesh, 'entry')
    const backend = await startTcpServer((socket) => {
      socket.on('data', (data) => {
        const path = /^GET (\S+) HTTP/.exec(data.toString())?.[1]
        if (path === undefined) return
        seen.push(path)
        respond(socket)
      })
    })
    home = await startNode(mesh, 'home', backend)
    home.plane.start()
  })
  afterEach(closeAll)

  const heads: Array<[string, string, string]> = [
    ['a blank in the name of a header', '/clocks/1', 'X Own: 1'],
    ['a header without a name', '/clocks/1', ': 1'],
    ['a tab in the target', '/clocks/a\tb', 'X-Own: 1']
  ]
  for (const [title, target, line] of heads) {
    it(`answers requests with ${title} with 400 and serves others (guards against a caller that ends the process)`, async () => {
      for (const node of nodes()) {
        const text = `GET ${target} HTTP/1.1\r\nHost: a.example\r\n${line}\r\n\r\n`
        // The bytes behind the head may be the body of a request whose length was malformed.
        const hidden = 'GET /clocks/hidden HTTP/1.1\r\nHost: a.example\r\n\r\n'
        const sent = Array.from({ length: REQUESTS }, () => sendTo(node.requests, text + hidden))
        const answers = await Promise.all(sent)
        for (const answer of answers) {
          expect(answer).to.match(/^HTTP\/1.1 400 /).and.match(/connection: close/i).and.include('head-malformed')
        }
        expect((await send(node.requests, 'GET', '/clocks/sound')).status).to.equal(200)
      }
      expect(seen).to.deep.equal(['/clocks/sound', '/clocks/sound'])
    })
  }

  it('answers a request for a key whose target is no URL (guards against a caller that ends the process)', async () => {
    const answer = await sendTo(entry.requests, 'GET http://[/.snipenotch/key HTTP/1.1\r\nHost: a.example\r\n\r\n')
    expect(answer).to.match(/^HTTP\/1.1 4\d\d /)
  })

  const responses: Array<[string, string]> = [
    ['an impossible status', 'HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok'],
    ['an interim status', 'HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\nok'],
    ['a blank in the name of a header', 'HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 2\r\n\r\nok']
  ]
  for (const [title, text] of responses) {
    it(`answers requests whose responses have ${title} with 502 and serves others (guards against a backend server that ends the process)`, async () => {
      for (const node of nodes()) {
        respond = (socket) => { socket.end(text) }
        const answers = await Promise.all(Array.from({ length: REQUESTS }, () => send(node.requests, 'GET', '/clocks/1')))
        expect(new Set(answers.map(({ status }) => status)).has(200)).to.equal(false)
        expect(answers.map(describeRefusal)).to.include('502 unknown backend-failed')
        respond = respondWell
        expect((await send(node.requests, 'GET', '/clocks/sound')).status).to.equal(200)
      }
    })
  }

  it('ends each request with a random head and serves others (guards against a caller that ends the process)', async () => {
    await fc.assert(fc.asyncProperty(requestHeads, async (drawn) => {
      const sent = drawn.map(({ target, lines, changes }, index) => {
        const text = [`GET /clocks/${target} HTTP/1.1`, 'Host: a.example', ...lines, '', ''].join('\r\n')
        return sendTo(nodes()[index % 2]?.requests ?? '', replaceBytes(text, changes))
      })
      expect((await Promise.all(sent)).filter((text) => text === undefined)).to.deep.equal([])
      expect(await askAll()).to.deep.equal([200, 200])
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  }).timeout(TEST_TIMEOUT_MS)

  it('ends each request whose response has a random head and serves others (guards against a backend server that ends the process)', async () => {
    await fc.assert(fc.asyncProperty(responseHeads, async (drawn) => {
      const left = drawn.map(({ status, lines, changes }) => {
        const text = [`HTTP/1.1 ${status} OK`, 'Content-Length: 2', ...lines, ''].join('\r\n')
        return replaceBytes(text, changes) + 'Connection: close\r\n\r\nok'
      })
      const count = left.length
      respond = (socket) => { socket.end(Buffer.from(left.pop() ?? '', 'latin1')) }
      const sent = Array.from({ length: count }, (_, index) =>
        sendTo(nodes()[index % 2]?.requests ?? '', 'GET /clocks/1 HTTP/1.1\r\nHost: a.example\r\n\r\n'))
      expect((await Promise.all(sent)).filter((text) => text === undefined)).to.deep.equal([])
      respond = respondWell
      expect(await askAll()).to.deep.equal([200, 200])
    }), { seed: SEED, numRuns: RUNS, endOnFailure: true })
  }).timeout(TEST_TIMEOUT_MS)

  it('answers a request whose response from another node has a malformed head (guards against a node of an earlier build)', async () => {
    const address = await startTcpServer((socket) => {
      socket.on('data', (data) => {
        const number = /snipenotch-request: (\d+)/.exec(data.toString())?.[1] ?? ''
        socket.end(`HTTP/1.1 200 OK\r\nX Own: 1\r\nsnipenotch-request: ${number}\r\nContent-Length: 2\r\n\r\nok`)
      })
    })
    mesh.endpoints.clear()
    addEndpoint(mesh, 'earlier', address)
    expect(describeRefusal(await send(entry.requests, 'GET', '/clocks/1'))).to.equal('502 unknown backend-failed')
  })
})
