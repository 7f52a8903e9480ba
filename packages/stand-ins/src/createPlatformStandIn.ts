import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'

/** Faults that the stand-in can be told to show; all off by default. */
export interface PlatformFaults {
  /** Answers 503 to every call. */
  down: boolean
  /** Time added before each answer, in milliseconds. */
  delayMs: number
  /** Share of writes, in 0..1, that take effect but whose connection is cut before the answer. */
  loseAnswers: number
  /** Calls a second above which the stand-in answers 429; 0 for no limit. */
  callsPerSecond: number
}

export interface PlatformCounts {
  reads: number
  writes: number
  refused: number
  lostAnswers: number
}

interface StoredRow {
  revision: number
  value: unknown
}

interface TransactionBody {
  conditions: Array<{ key: string, revision: number }>
  writes: Array<{ key: string, value: unknown }>
}

export interface PlatformStandIn {
  readonly server: Server
  readonly faults: PlatformFaults
  readonly counts: PlatformCounts
}

async function readText (incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of incoming) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

/**
 * Table service and object store in one process's memory, with the faults of the real ones.
 * `draw` returns numbers in 0..1 and decides which answers are lost. `GET /faults` and `PUT /faults` read and set the
 * faults over HTTP; `GET /counts` reads the counts.
 */
export function createPlatformStandIn (draw: () => number): PlatformStandIn {
  const rows = new Map<string, StoredRow>()
  const objects = new Map<string, string>()
  const faults: PlatformFaults = { down: false, delayMs: 0, loseAnswers: 0, callsPerSecond: 0 }
  const counts: PlatformCounts = { reads: 0, writes: 0, refused: 0, lostAnswers: 0 }
  let window = 0
  let callsInWindow = 0

  function isOverRate (): boolean {
    const second = Math.floor(Date.now() / 1000)
    if (second !== window) [window, callsInWindow] = [second, 0]
    callsInWindow += 1
    return faults.callsPerSecond > 0 && callsInWindow > faults.callsPerSecond
  }

  function applyTransaction (body: TransactionBody): { key: string, found: number } | undefined {
    for (const { key, revision } of body.conditions) {
      const found = rows.get(key)?.revision ?? 0
      if (found !== revision) return { key, found }
    }
    for (const { key, value } of body.writes) {
      if (value === null) rows.delete(key)
      else rows.set(key, { revision: (rows.get(key)?.revision ?? 0) + 1, value })
    }
    return undefined
  }

  function listRows (query: URLSearchParams): Array<StoredRow & { key: string }> {
    const prefix = query.get('prefix') ?? ''
    const keys = [...rows.keys()].filter((key) => key.startsWith(prefix)).sort()
    if (query.get('reverse') === '1') keys.reverse()
    return keys.slice(0, Number(query.get('limit') ?? 1000)).map((key) => ({ key, ...(rows.get(key) as StoredRow) }))
  }

  function sendWritten (incoming: IncomingMessage, outgoing: ServerResponse, status: number, body: unknown): void {
    counts.writes += 1
    if (draw() < faults.loseAnswers) {
      counts.lostAnswers += 1
      incoming.socket.destroy()
    } else sendJson(outgoing, status, body)
  }

  /** Calls that steer the stand-in itself and never meet its faults. */
  async function handleSteering (call: string, incoming: IncomingMessage, outgoing: ServerResponse): Promise<boolean> {
    switch (call) {
      case 'GET /faults': sendJson(outgoing, 200, faults); return true
      case 'PUT /faults': sendJson(outgoing, 200, Object.assign(faults, JSON.parse(await readText(incoming)))); return true
      case 'GET /counts': sendJson(outgoing, 200, counts); return true
      default: return false
    }
  }

  function handleRead (call: string, key: string, query: URLSearchParams, outgoing: ServerResponse): void {
    counts.reads += 1
    if (call === 'GET /rows' && key === '') { sendJson(outgoing, 200, { rows: listRows(query) }); return }
    const row = rows.get(key)
    const object = objects.get(key)
    if (call === 'GET /rows' && row !== undefined) sendJson(outgoing, 200, { key, ...row })
    else if (call === 'GET /objects' && object !== undefined) outgoing.writeHead(200).end(object)
    else sendJson(outgoing, 404, {})
  }

  async function handleCall (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://platform')
    const call = `${incoming.method} /${url.pathname.split('/')[1] ?? ''}`
    const key = decodeURIComponent(url.pathname.split('/')[2] ?? '')
    if (await handleSteering(call, incoming, outgoing)) return
    const body = await readText(incoming)
    if (faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, faults.delayMs))
    if (faults.down || isOverRate()) {
      counts.refused += 1
      sendJson(outgoing, faults.down ? 503 : 429, {})
    } else if (call === 'POST /transactions') {
      const conflict = applyTransaction(JSON.parse(body) as TransactionBody)
      sendWritten(incoming, outgoing, conflict === undefined ? 200 : 409, conflict ?? {})
    } else if (call === 'PUT /objects') {
      objects.set(key, body)
      sendWritten(incoming, outgoing, 200, {})
    } else handleRead(call, key, url.searchParams, outgoing)
  }

  const server = createServer((incoming, outgoing) => {
    handleCall(incoming, outgoing).catch((error: unknown) => {
      if (!outgoing.headersSent) sendJson(outgoing, 400, { error: String(error) })
    })
  })
  return { server, faults, counts }
}
