// Stand-in for an application instance, as PROTOCOL.md describes it.
import { createServer, request } from 'node:http'

const IDLE_CLOSE_MS = 10_000
const QUEUE = 48

/**
 * Creates an instance at `host:port` that reports to `control`. `onEvent` gets what it sees: `arrived`, `run`, `done`,
 * `down`, `up`. `spoil` may take over the answer to a run: it returns true if it has answered on the socket itself.
 * `isDeadly` tells whether a request crashes the instance.
 */
export function createInstance ({
  id, host, port, control, service, zone, version = 'v1', slots = 12, workMs = 30, beatMs = 1500, downMs = 2000,
  clockOffsetMs = () => 0, onEvent, spoil = () => false, isDeadly = () => false
}) {
  const [controlHost, controlPort] = control.split(':')
  let server
  let beatTimer
  let sequence = 0
  let born = 0
  let state = 'ready'
  let isUp = false
  let running = 0
  let waiting = []
  let runNumber = 0

  /** Sends a status report or the deregistration; resolves with the status, or 0 without an answer within a second. */
  function tell (call, body) {
    return new Promise((resolve) => {
      const text = JSON.stringify(body)
      const outgoing = request({
        host: controlHost,
        port: Number(controlPort),
        method: 'POST',
        path: `/rpc?call=${call}&of=${id}`,
        agent: false,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
      }, (incoming) => {
        incoming.resume()
        incoming.on('end', () => { resolve(incoming.statusCode) })
      })
      const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), 1000)
      outgoing.on('close', () => { clearTimeout(timer) })
      outgoing.on('error', () => { resolve(0) })
      outgoing.end(text)
    })
  }

  function beat () {
    sequence += 1
    return tell('instances.heartbeat', {
      address: `${host}:${port}`,
      born,
      information: { service, version, zone, slots },
      status: { state, sequence, 'cold-remaining-ms': 0 }
    })
  }

  function answer (response, status, headers, body = '') {
    response.writeHead(status, {
      'Keep-Alive': `timeout=${IDLE_CLOSE_MS / 1000}`, 'Content-Length': Buffer.byteLength(body), ...headers
    }).end(body)
  }

  const hasRoom = () => running < slots

  function startNext () {
    while (waiting.length > 0 && hasRoom()) waiting.shift()()
  }

  function run (incoming, response, attempt, body) {
    const mine = runNumber
    let isOpen = true
    const remainingMs = Number(incoming.headers['snipenotch-deadline-remaining'] ?? 0)
    running += 1
    onEvent('run', { instance: id, attempt, method: incoming.method, path: incoming.url, state, remainingMs })
    if (isDeadly(incoming)) {
      crash()
      return
    }
    function end () {
      if (!isOpen) return
      isOpen = false
      clearTimeout(timer)
      if (mine !== runNumber) return
      running -= 1
      startNext()
    }
    const timer = setTimeout(() => {
      if (!isOpen) return
      const text = `${id} ran ${attempt}\n`
      if (spoil(incoming, attempt, text)) {
        onEvent('spoiled', { instance: id, attempt })
      } else {
        const signature = `${id}.${attempt}`
        answer(response, 200, { 'Snipenotch-Attempt-Id': attempt, 'Snipenotch-Response-Signature': signature }, text)
        onEvent('done', { instance: id, attempt })
      }
      end()
    }, workMs)
    response.on('close', end)
  }

  function handle (incoming, response, body) {
    if (incoming.url === '/health') {
      answer(response, state === 'ready' ? 200 : 503, { 'Snipenotch-Instance-Id': id })
      return
    }
    const attempt = incoming.headers['snipenotch-attempt-id']
    const target = incoming.headers['snipenotch-target-instance']
    if (attempt === undefined) {
      answer(response, 400, { 'Snipenotch-Not-Executed': '1' })
    } else if (target !== undefined && target !== id) {
      answer(response, 421, { 'Snipenotch-Instance-Id': id, 'Snipenotch-Attempt-Id': attempt })
    } else if (hasRoom()) {
      run(incoming, response, attempt, body)
    } else if (waiting.length < QUEUE) {
      const begin = () => { run(incoming, response, attempt, body) }
      waiting.push(begin)
      response.on('close', () => { waiting = waiting.filter((other) => other !== begin) })
    } else {
      answer(response, 503, { 'Snipenotch-Not-Executed': '1', 'Snipenotch-Attempt-Id': attempt })
    }
  }

  function start () {
    runNumber += 1
    running = 0
    waiting = []
    sequence = 0
    state = 'ready'
    born = Date.now() + clockOffsetMs()
    server = createServer({ keepAliveTimeout: IDLE_CLOSE_MS }, (incoming, response) => {
      const chunks = []
      incoming.on('data', (chunk) => chunks.push(chunk))
      incoming.on('end', () => { handle(incoming, response, Buffer.concat(chunks)) })
      incoming.on('error', () => { response.destroy() })
    })
    return new Promise((resolve) => {
      server.listen(port, host, 1024, () => {
        isUp = true
        onEvent('up', { instance: id, born })
        beat()
        beatTimer = setInterval(beat, beatMs)
        resolve()
      })
    })
  }

  function stop () {
    isUp = false
    runNumber += 1
    clearInterval(beatTimer)
    server.close()
    server.closeAllConnections()
  }

  /** Ends the process without a word; it is back after `downMs`. */
  function crash (forMs = downMs) {
    if (!isUp) return
    stop()
    onEvent('down', { instance: id })
    setTimeout(() => { if (!isClosed) start() }, forMs)
  }

  let isClosed = false
  return {
    id,
    start,
    crash,
    /** Reports `draining`; resolves with the status of the answer. */
    drain: () => {
      state = 'draining'
      return beat()
    },
    beat,
    isUp: () => isUp,
    getBorn: () => born,
    close: () => {
      isClosed = true
      if (isUp) stop()
    }
  }
}
