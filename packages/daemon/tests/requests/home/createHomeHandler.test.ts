import type { RequestListener, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { HEADERS } from '@snipenotch/contracts'
import { expect } from 'chai'
import { digestFingerprint } from '../../../src/requests/home/digestFingerprint.js'
import { awaitCondition, createKey, ORDER, startBackend, startHome, UPLOAD, LOOKUP, type Call, type HomeFixture, type HomeOptions, type TestBackend } from './startHome.js'

describe('createHomeHandler', () => {
  let backend: TestBackend
  let home: HomeFixture

  async function start (listener: RequestListener, options: HomeOptions = {}): Promise<void> {
    backend = await startBackend(listener)
    home = await startHome(backend.port, options)
  }

  afterEach(async () => {
    await home.stop()
    backend.crash()
  })

  const answerOk: RequestListener = (incoming, outgoing) => {
    incoming.resume().on('end', () => outgoing.end('done'))
  }

  it('adds outcome, load and version to a response (guards against routing without load reports)', async () => {
    await start(answerOk)
    const { status, body, headers } = await home.call({ path: '/clocks/7?x=1' })
    expect({ status, body }).to.deep.equal({ status: 200, body: 'done' })
    expect(headers[HEADERS.outcome]).to.equal('ran')
    expect(headers[HEADERS.version]).to.equal('v1')
    expect(headers[HEADERS.load]).to.match(/^\d+,\d+,\d+$/)
    expect(backend.runs[0]?.url).to.equal('/clocks/7?x=1')
  })

  it('sends the remaining time but no internal headers to the backend server (guards against a leaked token)', async () => {
    await start(answerOk)
    await home.call({ deadlineMs: 3000, headers: { [HEADERS.token]: 'secret', [HEADERS.attempt]: '7', [HEADERS.outcome]: 'not-run', connection: 'close, x-hop', 'x-hop': '1', 'x-end': '2' } })
    const headers = backend.runs[0]!.headers
    expect(Number(headers[HEADERS.deadline])).to.be.within(1, 3000)
    expect(headers).to.not.have.any.keys(HEADERS.token, HEADERS.outcome, 'x-hop')
    expect(headers[HEADERS.attempt]).to.equal('0')
    expect(headers['x-end']).to.equal('2')
  })

  it('runs a key once and replays its response (guards against a duplicate order)', async () => {
    await start(answerOk)
    const call: Call = { route: ORDER, key: createKey(), body: '{"boxes":3}' }
    const responses = await Promise.all([home.call(call), home.call(call), home.call(call)])
    responses.push(await home.call(call))
    expect(responses.map(({ status, body, headers }) => [status, body, headers[HEADERS.outcome]]))
      .to.deep.equal(Array.from({ length: 4 }, () => [200, 'done', 'ran']))
    expect(backend.runs).to.have.length(1)
  })

  it('completes a keyed run whose caller disconnected and replays its response (guards against a lost response)', async () => {
    let finish: (() => void) | undefined
    await start((incoming, outgoing) => { incoming.resume().on('end', () => { finish = () => outgoing.end('late') }) })
    const call: Call = { route: ORDER, key: createKey(), body: 'x' }
    const first = home.open(call).on('error', () => undefined)
    first.end('x')
    await awaitCondition(() => finish !== undefined)
    first.destroy()
    await awaitCondition(() => home.context.counters.read('requests', 'cancelled') === 1)
    const second = home.call(call)
    finish?.()
    expect((await second).body).to.equal('late')
    expect(backend.runs).to.have.length(1)
  })

  it('refuses keys that must not run', async () => {
    await start(answerOk)
    const used = createKey()
    await home.call({ route: ORDER, key: used, body: 'abc' })
    const rows: Array<[Call, number, string, string]> = [
      [{}, 428, 'key-required', 'not-run'],
      [{ key: createKey({ incarnation: 41 }) }, 409, 'key-home-gone', 'unknown'],
      [{ key: createKey({ host: 'krakow-2' }) }, 409, 'key-home-gone', 'unknown'],
      [{ key: createKey({ issuedAt: Date.now() - 121_000 }) }, 409, 'key-expired', 'not-run'],
      [{ key: createKey({ issuedAt: Date.now() + 60_000 }) }, 409, 'key-expired', 'unknown'],
      [{ key: used, body: 'abcd' }, 422, 'key-mismatch', 'ran'],
      [{ key: used, path: '/other', body: 'abc' }, 422, 'key-mismatch', 'ran']
    ]
    for (const [call, status, reason, outcome] of rows) {
      const response = await home.call({ route: ORDER, ...call })
      expect([response.status, response.headers[HEADERS.reason], response.headers[HEADERS.outcome]])
        .to.deep.equal([status, reason, outcome])
    }
    expect(backend.runs).to.have.length(1)
  })

  const cuts: Array<[string, string, Call, number, string | undefined]> = [
    ['before the first byte for a lookup', '', {}, 502, 'unknown'],
    ['before the first byte for an order', '', { route: ORDER, body: 'x' }, 502, 'unknown'],
    ['inside the status line', 'HTTP/1.1 20', { route: ORDER, body: 'x' }, 502, 'unknown'],
    ['inside the headers', 'HTTP/1.1 200 OK\r\ncontent-le', {}, 502, 'unknown'],
    ['inside a body of declared length', 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf', {}, 200, undefined],
    ['inside a chunked body', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', {}, 200, undefined],
    ['inside a chunked body of an order', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n', { route: ORDER, body: 'x' }, 200, undefined]
  ]
  for (const [place, bytes, call, status, outcome] of cuts) {
    it(`reports a response truncated ${place} to the caller as a failure (guards against a truncated response read as complete)`, async () => {
      await start((incoming) => { incoming.socket.end(bytes) })
      const key = createKey()
      const response = await home.call({ ...call, key })
      if (outcome === undefined) {
        expect(response.isTruncated).to.equal(true)
      } else {
        expect([response.status, response.headers[HEADERS.outcome]]).to.deep.equal([status, outcome])
      }
      expect(backend.runs).to.have.length(1)
      if (call.route !== ORDER) return
      const again = await home.call({ ...call, key })
      expect([again.status, again.headers[HEADERS.outcome]]).to.deep.equal([409, 'unknown'])
      expect(backend.runs).to.have.length(1)
    })
  }

  it('reports not-run and invalidates the key when the backend server is unreachable (guards against a duplicate that runs later)', async () => {
    await start(answerOk)
    backend.crash()
    const call: Call = { route: ORDER, key: createKey(), body: 'x' }
    const refused = await home.call(call)
    expect([refused.status, refused.headers[HEADERS.outcome], refused.headers[HEADERS.reason]])
      .to.deep.equal([503, 'not-run', 'backend-unreachable'])
    await backend.restart()
    await awaitCondition(() => home.events.includes('backendUp'))
    const again = await home.call(call)
    expect([again.status, again.headers[HEADERS.reason]]).to.deep.equal([409, 'key-refused'])
    expect((await home.call({ ...call, key: createKey() })).status).to.equal(200)
    expect(backend.runs).to.have.length(1)
  })

  it('announces when the backend server goes down and comes up (guards against requests sent to a server that is down)', async () => {
    await start(answerOk)
    backend.crash()
    await home.call()
    await awaitCondition(() => home.announced.some(({ state }) => state === 'starting'))
    await backend.restart()
    await awaitCondition(() => home.announced.some(({ state, warmSlots }) => state === 'serving' && warmSlots === 1))
    expect((await home.call()).status).to.equal(200)
  })

  const shed: Array<[string, Call, Record<string, string>, number, [number, string, string | undefined]]> = [
    ['a lookup', {}, {}, 503, [503, 'unknown', 'backend-shedding']],
    ['a lookup with outcome not-run', {}, { [HEADERS.outcome]: 'not-run' }, 503, [503, 'not-run', 'backend-shedding']],
    ['an order with outcome not-run', { route: ORDER, body: 'x' }, { [HEADERS.outcome]: 'not-run' }, 503, [503, 'not-run', 'backend-shedding']],
    ['an order without an outcome', { route: ORDER, body: 'x' }, {}, 503, [503, 'unknown', undefined]],
    ['an order', { route: ORDER, body: 'x' }, {}, 500, [500, 'ran', undefined]]
  ]
  for (const [what, call, headers, status, expected] of shed) {
    it(`response ${status} to ${what} (guards against a not-run that the backend server did not report)`, async () => {
      await start((incoming, outgoing) => {
        incoming.resume()
        outgoing.writeHead(status, headers).end()
      })
      const response = await home.call({ ...call, key: createKey() })
      expect([response.status, response.headers[HEADERS.outcome], response.headers[HEADERS.reason]])
        .to.deep.equal(expected)
    })
  }

  it('aborts a run at its deadline with outcome unknown (guards against a caller that waits forever)', async () => {
    let closed = 0
    await start((incoming) => { incoming.resume().socket.on('close', () => { closed += 1 }) })
    for (const call of [{}, { route: ORDER, key: createKey(), body: 'x' }]) {
      const response = await home.call({ ...call, deadlineMs: 60 })
      expect([response.status, response.headers[HEADERS.outcome], response.headers[HEADERS.reason]])
        .to.deep.equal([504, 'unknown', 'deadline-passed'])
    }
    await awaitCondition(() => closed === 2)
  })

  it('cancels a lookup whose caller disconnected (guards against work with no one waiting)', async () => {
    let closed = false
    await start((incoming) => { incoming.socket.on('close', () => { closed = true }) })
    const sent = home.open().on('error', () => undefined)
    sent.end()
    await awaitCondition(() => backend.runs.length === 1)
    sent.destroy()
    await awaitCondition(() => closed)
  })

  it('streams an upload with back-pressure (guards against buffering whole bodies)', async () => {
    let response: ServerResponse | undefined
    await start((_incoming, outgoing) => { response = outgoing })
    const sent = home.open({ route: UPLOAD }).on('error', () => undefined)
    const chunk = Buffer.alloc(65_536)
    let written = 0
    const write = (): void => {
      while (written < 64 * 1_048_576) {
        written += chunk.length
        if (!sent.write(chunk)) return
      }
    }
    sent.on('drain', write)
    write()
    await awaitCondition(() => response !== undefined)
    let last = -1
    while (written !== last) {
      last = written
      await new Promise((resolve) => { setTimeout(resolve, 200) })
    }
    expect(written).to.be.below(32 * 1_048_576)
    sent.destroy()
  })

  it('forwards a body unchanged (guards against a body prefix that is lost or sent twice)', async () => {
    await start((incoming, outgoing) => {
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => outgoing.end(Buffer.concat(chunks)))
    })
    for (const size of [1, 4095, 4096, 4097, 300_000]) {
      const body = Array.from({ length: size }, (_, index) => String.fromCharCode(97 + index % 26)).join('')
      for (const headers of [{}, { 'transfer-encoding': 'chunked' }] as Array<Record<string, string>>) {
        const response = await home.call({ route: UPLOAD, body, headers })
        expect(response.body === body, `${size} bytes`).to.equal(true)
      }
    }
  })

  it('reports the requests in flight when the backend server crashes (guards against a crashing request that is retried on every host)', async () => {
    await start((incoming, outgoing) => {
      if (incoming.url === '/poison') backend.crash()
      else outgoing.end()
    })
    await home.call({ path: '/innocent' })
    const response = await home.call({ path: '/poison' })
    expect([response.status, response.headers[HEADERS.outcome]]).to.deep.equal([502, 'unknown'])
    await awaitCondition(() => home.suspects.length > 0)
    const fingerprint = digestFingerprint('GET', '/poison', Buffer.alloc(0))
    expect(home.suspects.map((suspect) => suspect.fingerprint)).to.deep.equal([fingerprint])
    await backend.restart()
    await awaitCondition(() => home.events.includes('backendUp'))
    home.quarantined.add(fingerprint)
    const refused = await home.call({ path: '/poison' })
    expect([refused.status, refused.headers[HEADERS.reason], refused.headers[HEADERS.outcome]])
      .to.deep.equal([503, 'crash-suspect', 'not-run'])
    expect(backend.runs.filter(({ url }) => url === '/poison')).to.have.length(1)
  })

  it('refuses new requests and completes running ones while it drains (guards against an interrupted request)', async () => {
    const held: ServerResponse[] = []
    await start((_incoming, outgoing) => { held.push(outgoing) })
    const first = home.call()
    await awaitCondition(() => held.length === 1)
    let isDrained = false
    const drained = home.handler.drain().then(() => { isDrained = true })
    const refused = await home.call({ route: ORDER, key: createKey(), body: 'x' })
    expect([refused.status, refused.headers[HEADERS.reason], refused.headers[HEADERS.outcome]])
      .to.deep.equal([503, 'draining', 'not-run'])
    expect(isDrained).to.equal(false)
    held[0]!.end('whole')
    expect((await first).body).to.equal('whole')
    await drained
  })

  it('refuses new keys and replays known ones while operators drain the host (guards against work in a drained data centre)', async () => {
    await start((_incoming, outgoing) => { outgoing.end('whole') })
    const known = createKey()
    await home.call({ route: ORDER, key: known, body: 'x' })
    home.drained.value = true
    expect((await home.call({ route: ORDER, key: known, body: 'x' })).body).to.equal('whole')
    const refused = await home.call({ route: ORDER, key: createKey(), body: 'x' })
    expect([refused.headers[HEADERS.reason], refused.headers[HEADERS.outcome]]).to.deep.equal(['draining', 'not-run'])
  })

  it('starts with a concurrency limit of 1 and never exceeds the slots (guards against overload of a cold server)', async () => {
    const held: ServerResponse[] = []
    await start((_incoming, outgoing) => { held.push(outgoing) }, { slots: 4 })
    const calls = Array.from({ length: 12 }, () => home.call())
    await awaitCondition(() => held.length === 1 && home.handler.formatLoad() === '1,11,1')
    let most = 0
    while (held.length > 0 || home.handler.formatLoad().split(',')[0] !== '0') {
      most = Math.max(most, held.length)
      held.shift()?.end()
      await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
    expect((await Promise.all(calls)).map(({ status }) => status)).to.deep.equal(Array.from({ length: 12 }, () => 200))
    expect(most).to.be.within(2, 4)
  })

  it('refuses requests that exceed the queue (guards against an unbounded queue)', async () => {
    const held: ServerResponse[] = []
    await start((_incoming, outgoing) => { held.push(outgoing) }, { queue: 1 })
    const calls = [home.call({ caller: 'a' }), home.call({ caller: 'a' }), home.call({ caller: 'a' })]
    await awaitCondition(() => home.refusals.length === 1)
    expect(home.refusals).to.deep.equal([{ status: 503, reason: 'queue-full', outcome: 'not-run' }])
    const timer = setInterval(() => held.shift()?.end(), 5)
    await Promise.all(calls)
    clearInterval(timer)
  })

  it('does not reuse a connection on which a second response arrives (guards against a false not-run)', async () => {
    const again = 'HTTP/1.1 503 Service Unavailable\r\n' + `${HEADERS.outcome}: not-run\r\nContent-Length: 0\r\n\r\n`
    let refused: Socket | undefined
    await start((incoming, outgoing) => {
      if (refused === undefined) {
        refused = incoming.socket
        outgoing.on('finish', () => { setTimeout(() => { incoming.socket.write(again.slice(0, 20)) }, 20) })
        outgoing.writeHead(503, { [HEADERS.outcome]: 'not-run', 'content-length': 0 }).end()
        return
      }
      if (incoming.socket === refused) incoming.socket.write(again.slice(20))
      answerOk(incoming, outgoing)
    })
    expect((await home.call()).headers[HEADERS.outcome]).to.equal('not-run')
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    expect(await home.call()).to.include({ status: 200, body: 'done' })
    expect(backend.runs).to.have.length(2)
  })

  it('ignores keys on idempotent routes (guards against lookups that fill the idempotency store)', async () => {
    await start(answerOk)
    const key = createKey()
    await home.call({ route: LOOKUP, key })
    await home.call({ route: LOOKUP, key })
    expect(backend.runs).to.have.length(2)
  })
})
