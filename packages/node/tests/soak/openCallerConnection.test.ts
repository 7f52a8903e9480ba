import { expect } from 'chai'
import { Duplex } from 'node:stream'
import { type CallerAnswer, type CallerConnection, openCallerConnection } from './openCallerConnection.js'

const composeResponse = (body: string, more = ''): string =>
  `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${more}\r\n${body}`

describe('openCallerConnection', () => {
  let stream: Duplex
  let connection: CallerConnection
  let bodies: Array<string | undefined>
  const collectAnswer = (answer: CallerAnswer | undefined): void => { bodies.push(answer?.body) }
  /** Lets the stream give what it has. */
  const settle = (): Promise<void> => new Promise((resolve) => { setImmediate(resolve) })

  beforeEach(() => {
    stream = new Duplex({ read: () => undefined, write: (_bytes, _encoding, done) => { done() } })
    connection = openCallerConnection(stream)
    bodies = []
    connection.send('first', collectAnswer)
    connection.send('second', collectAnswer)
  })

  it('gives each request its answer, however the bytes are split', async () => {
    for (const byte of composeResponse('one') + composeResponse('two')) stream.push(byte)
    await settle()
    expect(bodies).to.deep.equal(['one', 'two'])
    expect(connection.isOpen()).to.equal(true)
  })

  it('gives no answer to a request whose response is cut (guards against losses that the soak cannot see)', async () => {
    stream.push(composeResponse('one', 'Connection: close\r\n'))
    await settle()
    expect(connection.isOpen()).to.equal(false)
    stream.push(composeResponse('two').slice(0, -1))
    stream.push(null)
    await settle()
    expect(bodies).to.deep.equal(['one', undefined])
  })

  it('gives no answer to what a reset drops', async () => {
    connection.pause()
    stream.push(composeResponse('one'))
    await settle()
    stream.destroy(new Error('reset'))
    await settle()
    expect(bodies).to.deep.equal([undefined, undefined])
  })
})
