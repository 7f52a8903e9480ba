import { expect } from 'chai'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { openSlowLink } from './openSlowLink.js'
import { awaitCondition } from './startTestMesh.js'

const OPTIONS = { delayMs: 20, bytesPerMs: 500, windowBytes: 65_536 }
const BODY_BYTES = 200_000
/** More than the socket buffers of both ends and the window hold, in bytes. */
const LARGE_BYTES = 20_000_000
/** Bandwidth of a link on which only the window counts, in bytes per millisecond. */
const FAST_BYTES_PER_MS = 1_000_000

interface Reader {
  readonly countBytes: () => number
  readonly getEnd: () => string | undefined
}

/** Reads a stream; `getEnd` returns 'end' or the code of the error, undefined until then. */
function readStream (stream: Duplex): Reader {
  let bytes = 0
  let end: string | undefined
  stream.on('data', (chunk: Buffer) => { bytes += chunk.length })
  stream.on('end', () => { end ??= 'end' })
  stream.on('error', (error: NodeJS.ErrnoException) => { end ??= error.code })
  return { countBytes: () => bytes, getEnd: () => end }
}

describe('openSlowLink', () => {
  let server: Server
  let accepted: Socket[]
  let caller: Duplex

  const getPort = (): number => (server.address() as AddressInfo).port

  beforeEach(async () => {
    accepted = []
    server = createServer({ allowHalfOpen: true }, (socket) => {
      socket.on('error', () => undefined)
      accepted.push(socket)
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    caller = openSlowLink(getPort(), OPTIONS)
    await awaitCondition('it is connected', () => accepted.length === 1)
  })

  afterEach(() => {
    caller.destroy()
    for (const socket of accepted) socket.destroy()
    server.close()
  })

  it('delivers bytes and ends of both directions in order, behind what is sent directly', async () => {
    const received: Buffer[] = []
    const ends: string[] = []
    accepted[0]?.on('data', (chunk: Buffer) => received.push(chunk)).on('end', () => ends.push('slow'))
    const sent = Buffer.from(Array.from({ length: BODY_BYTES }, (_, index) => index % 251))
    caller.end(sent)
    const direct = connect(getPort(), '127.0.0.1', () => { direct.end(sent) })
    await awaitCondition('the direct connection is accepted', () => accepted.length === 2)
    accepted[1]?.on('end', () => ends.push('direct')).resume()
    await awaitCondition('the server has it', () => ends.length === 2)
    expect(ends).to.deep.equal(['direct', 'slow'])
    expect(Buffer.concat(received).equals(sent)).to.equal(true)
    const reader = readStream(caller)
    accepted[0]?.end(sent)
    await awaitCondition('the caller has it', () => reader.getEnd() !== undefined)
    expect([reader.countBytes(), reader.getEnd()]).to.deep.equal([BODY_BYTES, 'end'])
  })

  it('blocks the writer until the caller reads', async () => {
    const options = { ...OPTIONS, delayMs: 0, bytesPerMs: FAST_BYTES_PER_MS }
    const late = openSlowLink(getPort(), options)
    await awaitCondition('the late reader is connected', () => accepted.length === 2)
    const reader = readStream(openSlowLink(getPort(), options))
    await awaitCondition('the reader is connected', () => accepted.length === 3)
    for (const socket of accepted.slice(1)) socket.end(Buffer.alloc(LARGE_BYTES))
    await awaitCondition('the reader has it', () => reader.getEnd() === 'end')
    expect(accepted[1]?.writableLength).to.be.greaterThan(0)
    expect(late.readableLength).to.be.lessThan(OPTIONS.windowBytes)
    const lateReader = readStream(late)
    await awaitCondition('the late reader has it', () => lateReader.getEnd() === 'end')
    expect(lateReader.countBytes()).to.equal(LARGE_BYTES)
  })

  it('passes a reset on and drops what has not been delivered', async () => {
    const reader = readStream(caller)
    accepted[0]?.write(Buffer.alloc(BODY_BYTES))
    await awaitCondition('some has arrived', () => reader.countBytes() > 0)
    accepted[0]?.resetAndDestroy()
    await awaitCondition('the reset has arrived', () => reader.getEnd() !== undefined)
    expect(reader.getEnd()).to.equal('ECONNRESET')
    expect(reader.countBytes()).to.be.lessThan(BODY_BYTES)
  })

  it('drops an answer when bytes reach a socket that was closed behind it (guards against losses that a test cannot see)', async () => {
    const reader = readStream(caller)
    accepted[0]?.end(Buffer.alloc(BODY_BYTES))
    accepted[0]?.destroySoon()
    caller.write('more')
    await awaitCondition('the reset has arrived', () => reader.getEnd() !== undefined)
    expect(reader.getEnd()).to.be.oneOf(['ECONNRESET', 'EPIPE'])
    expect(reader.countBytes()).to.be.lessThan(BODY_BYTES)
  })

  it('delivers an answer whole when nothing follows the close of its socket', async () => {
    const reader = readStream(caller)
    accepted[0]?.end(Buffer.alloc(BODY_BYTES))
    accepted[0]?.destroySoon()
    await awaitCondition('the end has arrived', () => reader.getEnd() !== undefined)
    expect([reader.countBytes(), reader.getEnd()]).to.deep.equal([BODY_BYTES, 'end'])
  })
})
