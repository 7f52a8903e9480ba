import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { createFaultProxy, drawRule, type FaultProxy } from '../../src/proxy/createFaultProxy.js'
import { createDraw } from '../../src/random/createDraw.js'

const ANSWER = 'answer-of-the-server'

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
        socket.write(ANSWER)
      })
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    proxy = await createFaultProxy(`127.0.0.1:${(server.address() as AddressInfo).port}`, createDraw(1))
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

  async function until (holds: () => boolean): Promise<void> {
    while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5))
  }

  const pause = (): Promise<void> => new Promise((resolve) => setTimeout(resolve, 60))

  it('passes both directions without a rule (guards against a proxy that is itself a fault)', async () => {
    const { client, read } = open()
    client.write('question')
    await until(() => read() === ANSWER)
    expect(received).to.equal('question')
    expect(proxy.counts).to.include({ connections: 1, bytesToServer: 8, bytesToClient: ANSWER.length, cut: 0 })
  })

  it('cuts an answer after N bytes (guards against truncated answers that no test can produce)', async () => {
    proxy.setRule({ cut: { direction: 'to-client', bytes: 6 } })
    const { client, read, closed } = open()
    client.write('question')
    await closed
    expect(read()).to.equal(ANSWER.slice(0, 6))
    expect(proxy.counts.cut).to.equal(1)
  })

  it('cuts a question after N bytes and resets its sender', async () => {
    proxy.setRule({ cut: { direction: 'to-server', bytes: 3 } })
    const { client, closed } = open()
    client.write('question')
    expect(await closed).to.equal('ECONNRESET')
    await until(() => received !== '')
    expect(received).to.equal('que')
  })

  it('drops an answer after the server took the question (guards against lost answers that never ran)', async () => {
    proxy.setRule({ dropAnswers: true })
    const { client, read, closed } = open()
    client.write('question')
    expect(await closed).to.equal('ECONNRESET')
    expect([received, read(), proxy.counts.answersDropped]).to.deep.equal(['question', '', 1])
  })

  const silent = [
    { name: 'a black hole keeps the question from the server', rule: { blackHole: true }, reached: '', read: '' },
    { name: 'loss towards the server keeps the question from it', rule: { lose: 'to-server' as const }, reached: '', read: '' },
    { name: 'loss towards the client lets only the question through', rule: { lose: 'to-client' as const }, reached: 'question', read: '' }
  ]
  for (const { name, rule, reached, read: expected } of silent) {
    it(`${name}, and both sides stay connected`, async () => {
      proxy.setRule(rule)
      const { client, read } = open()
      client.write('question')
      await until(() => proxy.counts.bytesLost > 0)
      await pause()
      expect([received, read(), client.destroyed]).to.deep.equal([reached, expected, false])
    })
  }

  it('refuses by rule with a reset and by a closed port with ECONNREFUSED, then accepts again', async () => {
    proxy.setRule({ refuse: true })
    expect(await open().closed).to.equal('ECONNRESET')
    proxy.setRule({})
    proxy.refuseAll()
    await pause()
    expect(await open().closed).to.equal('ECONNREFUSED')
    await proxy.acceptAll()
    const { client, read } = open()
    client.write('question')
    await until(() => read() === ANSWER)
  })

  it('holds bytes while frozen and delivers them once thawed', async () => {
    const { client, read } = open()
    proxy.freeze()
    client.write('question')
    await pause()
    expect(received).to.equal('')
    proxy.thaw()
    await until(() => read() === ANSWER)
  })

  it('resets every present connection at once', async () => {
    const clients = [open(), open()]
    for (const { client } of clients) client.write('question')
    await until(() => clients.every(({ read }) => read() === ANSWER))
    proxy.resetAll()
    for (const { closed } of clients) expect(await closed).to.equal('ECONNRESET')
    expect(proxy.counts.resets).to.equal(2)
  })

  it('draws the same rules for the same seed (guards against failures that cannot be repeated)', () => {
    const rules = [{ share: 0.3, rule: { blackHole: true } }, { share: 0.2, rule: { dropAnswers: true } }]
    const list = (seed: number): string[] => {
      const draw = createDraw(seed)
      return Array.from({ length: 200 }, () => JSON.stringify(drawRule(rules, draw)))
    }
    expect(list(7)).to.deep.equal(list(7))
    const holes = list(7).filter((rule) => rule.includes('"blackHole":true')).length
    expect(holes).to.be.within(40, 80)
  })
})
