import { once } from 'node:events'
import { readdirSync } from 'node:fs'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { createFaultProxy, pickRule, type FaultProxy } from '../../src/proxy/createFaultProxy.js'
import { createRandom } from '../../src/random/createRandom.js'

const RESPONSE = 'answer-of-the-server'
const RESET_CONNECTIONS = 50
const countDescriptors = (): number => readdirSync('/proc/self/fd').length

describe('createFaultProxy', () => {
  let server: Server
  let received: string
  let proxy: FaultProxy
  const sockets = new Set<Socket>()

  beforeEach(async () => {
    received = ''
    server = createServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('data', (chunk) => {
        received += chunk.toString()
        socket.write(RESPONSE)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    proxy = await createFaultProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`, createRandom(1))
  })

  afterEach(() => {
    proxy.stop()
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  function open (): { client: Socket, read: () => string, closed: Promise<string> } {
    const client = connect({ host: '127.0.0.1', port: Number(proxy.address.split(':')[1]) })
    let text = ''
    let error = 'end'
    client.on('data', (chunk) => { text += chunk.toString() })
    client.on('error', (cause: NodeJS.ErrnoException) => { error = cause.code ?? 'error' })
    const closed = new Promise<string>((resolve) => client.on('close', () => resolve(error)))
    sockets.add(client)
    return { client, read: () => text, closed }
  }

  async function awaitCondition (holds: () => boolean): Promise<void> {
    while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5))
  }

  const delay = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 60))

  it('forwards both directions without a rule (guards against a proxy that adds faults of its own)', async () => {
    const { client, read } = open()
    client.write('question')
    await awaitCondition(() => read() === RESPONSE)
    expect(received).to.equal('question')
    expect(proxy.counts).to.include({ connections: 1, bytesToServer: 8, bytesToClient: RESPONSE.length, cut: 0 })
  })

  it('cuts a response after N bytes (guards against truncated responses that no test can produce)', async () => {
    proxy.setRule({ cut: { direction: 'to-client', bytes: 6 } })
    const { client, read, closed } = open()
    client.write('question')
    await closed
    expect(read()).to.equal(RESPONSE.slice(0, 6))
    expect(proxy.counts.cut).to.equal(1)
  })

  it('cuts a request after N bytes and resets its sender', async () => {
    proxy.setRule({ cut: { direction: 'to-server', bytes: 3 } })
    const { client, closed } = open()
    client.write('question')
    expect(await closed).to.equal('ECONNRESET')
    await awaitCondition(() => received !== '')
    expect(received).to.equal('que')
  })

  it('drops a response after the server received the request (guards against lost responses to requests that never ran)', async () => {
    proxy.setRule({ dropAnswers: true })
    const { client, read, closed } = open()
    client.write('question')
    expect(await closed).to.equal('ECONNRESET')
    expect([received, read(), proxy.counts.answersDropped]).to.deep.equal(['question', '', 1])
  })

  const silent = [
    { name: 'a black hole discards the request', rule: { blackHole: true }, reached: '', read: '' },
    { name: 'loss towards the server discards the request', rule: { lose: 'to-server' as const }, reached: '', read: '' },
    { name: 'loss towards the client delivers only the request', rule: { lose: 'to-client' as const }, reached: 'question', read: '' }
  ]
  for (const { name, rule, reached, read: expected } of silent) {
    it(`${name}, and both sides stay connected`, async () => {
      proxy.setRule(rule)
      const { client, read } = open()
      client.write('question')
      await awaitCondition(() => proxy.counts.bytesLost > 0)
      await delay()
      expect([received, read(), client.destroyed]).to.deep.equal([reached, expected, false])
    })
  }

  it('refuses connections with a reset by rule and with ECONNREFUSED by a closed port, then accepts again', async () => {
    proxy.setRule({ refuse: true })
    expect(await open().closed).to.equal('ECONNRESET')
    proxy.setRule({})
    proxy.refuseAll()
    await delay()
    expect(await open().closed).to.equal('ECONNREFUSED')
    await proxy.acceptAll()
    const { client, read } = open()
    client.write('question')
    await awaitCondition(() => read() === RESPONSE)
  })

  it('holds data while paused and delivers it once resumed', async () => {
    const { client, read } = open()
    proxy.pause()
    client.write('question')
    await delay()
    expect(received).to.equal('')
    proxy.resume()
    await awaitCondition(() => read() === RESPONSE)
  })

  it('resets all existing connections at once', async () => {
    const clients = [open(), open()]
    for (const { client } of clients) client.write('question')
    await awaitCondition(() => clients.every(({ read }) => read() === RESPONSE))
    proxy.resetAll()
    for (const { closed } of clients) expect(await closed).to.equal('ECONNRESET')
    expect(proxy.counts.resets).to.equal(2)
  })

  it('makes existing connections silent for good, also once the server closes them, while new ones work', async () => {
    const silent = open()
    silent.client.write('question')
    await awaitCondition(() => silent.read() === RESPONSE)
    proxy.silenceAll()
    silent.client.write('more')
    const { client, read } = open()
    client.write('question')
    await awaitCondition(() => read() === RESPONSE)
    for (const socket of sockets) if (socket !== silent.client) socket.destroy()
    await delay()
    expect({ received, read: silent.read(), isOpen: !silent.client.destroyed })
      .to.deep.equal({ received: 'questionquestion', read: RESPONSE, isOpen: true })
    silent.client.destroy()
  })

  it('releases connections that their target ends and then resets (guards against tests that run out of descriptors)', async () => {
    server.on('connection', (socket) => { socket.end() })
    const before = countDescriptors()
    const clients = Array.from({ length: RESET_CONNECTIONS }, () => {
      const client = connect({ host: '127.0.0.1', port: Number(proxy.address.split(':')[1]), allowHalfOpen: true })
      return client.on('error', () => undefined).resume()
    })
    await Promise.all(clients.map((client) => once(client, 'end')))
    for (const socket of sockets) socket.resetAndDestroy()
    for (const client of clients) client.write('question')
    await delay()
    for (const client of clients) client.destroy()
    await awaitCondition(() => countDescriptors() <= before)
  })

  it('picks the same rules for the same seed (guards against failures that cannot be reproduced)', () => {
    const rules = [{ share: 0.3, rule: { blackHole: true } }, { share: 0.2, rule: { dropAnswers: true } }]
    const list = (seed: number): string[] => {
      const random = createRandom(seed)
      return Array.from({ length: 200 }, () => JSON.stringify(pickRule(rules, random)))
    }
    expect(list(7)).to.deep.equal(list(7))
    const holes = list(7).filter((rule) => rule.includes('"blackHole":true')).length
    expect(holes).to.be.within(40, 80)
  })
})
