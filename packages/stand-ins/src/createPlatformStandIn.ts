import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { setTimeout as awaitTime } from 'node:timers/promises'
import { createCallCounter, type CallKind, type CallCounter } from './platform/createCallCounter.js'
import { createRowStore, type TransactionBody } from './platform/createRowStore.js'
import {
  buildDefaultPlatformFaults, computeDelay, platformFaultsSchema, takeLostResponse,
  type PlatformFaults, type PlatformPart
} from './platform/platformFaultsSchema.js'

/** Number of calls that the stand-in has handled, and of responses that it has dropped. */
export interface PlatformCounts {
  reads: number
  writes: number
  refused: number
  lostAnswers: number
}

/** Stand-in for the platform: its HTTP server, the faults to inject and counts. */
export interface PlatformStandIn {
  readonly server: Server
  readonly faults: PlatformFaults
  readonly counts: PlatformCounts
  /** Counts of reads and writes by second. */
  readonly callCounter: CallCounter
}

/** A call of the table service or the object store. */
interface PlatformCall {
  readonly call: string
  readonly part: PlatformPart
  readonly kind: CallKind
  readonly key: string
  readonly query: URLSearchParams
}

const DEFAULT_LIST_LIMIT = 1000

async function readText (incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of incoming) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function parseCall (method: string, url: URL): PlatformCall {
  const [, resource = '', key = ''] = url.pathname.split('/')
  return {
    call: `${method} /${resource}`,
    part: resource === 'objects' ? 'objects' : 'table',
    kind: method === 'GET' ? 'read' : 'write',
    key: decodeURIComponent(key),
    query: url.searchParams
  }
}

/**
 * Creates a table service and object store in memory that can inject the faults of the real ones. `random` returns
 * numbers in 0..1 and decides which responses are lost. `GET /faults` and `PUT /faults` read and set the faults over
 * HTTP; `GET /counts` reads the counts and `GET /seconds` the calls by second.
 */
export function createPlatformStandIn (random: () => number): PlatformStandIn {
  const rows = createRowStore()
  const objects = new Map<string, string>()
  const faults = buildDefaultPlatformFaults()
  const counts: PlatformCounts = { reads: 0, writes: 0, refused: 0, lostAnswers: 0 }
  const callCounter = createCallCounter(Date.now)

  function isRateExceeded (kind: CallKind): boolean {
    const { reads, writes } = callCounter.add(kind)
    const kindLimit = kind === 'read'
      ? [reads, faults.readsPerSecond] as const
      : [writes, faults.writesPerSecond] as const
    return [[reads + writes, faults.callsPerSecond] as const, kindLimit]
      .some(([calls, limit]) => limit > 0 && calls > limit)
  }

  function isDown (part: PlatformPart): boolean {
    return faults.down || (part === 'table' ? faults.tableDown : faults.objectsDown)
  }

  /** Handles requests that control the stand-in, which its faults never affect; returns false for any other call. */
  async function handleControlRequest (
    call: string, incoming: IncomingMessage, outgoing: ServerResponse
  ): Promise<boolean> {
    switch (call) {
      case 'GET /faults': sendJson(outgoing, 200, faults); return true
      case 'PUT /faults': {
        const patch = platformFaultsSchema.partial().parse(JSON.parse(await readText(incoming)))
        sendJson(outgoing, 200, Object.assign(faults, patch))
        return true
      }
      case 'GET /counts': sendJson(outgoing, 200, counts); return true
      case 'GET /seconds': sendJson(outgoing, 200, callCounter.seconds); return true
      default: return false
    }
  }

  function handleRead ({ call, key, query }: PlatformCall, outgoing: ServerResponse): void {
    counts.reads += 1
    if (call === 'GET /rows' && key === '') {
      const limit = Number(query.get('limit') ?? DEFAULT_LIST_LIMIT)
      sendJson(outgoing, 200, { rows: rows.list(query.get('prefix') ?? '', limit, query.get('reverse') === '1') })
      return
    }
    const row = rows.read(key)
    const object = objects.get(key)
    if (call === 'GET /rows' && row !== undefined) sendJson(outgoing, 200, { key, ...row })
    else if (call === 'GET /objects' && object !== undefined) outgoing.writeHead(200).end(object)
    else sendJson(outgoing, 404, {})
  }

  function handleWrite ({ call, part, key }: PlatformCall, body: string, outgoing: ServerResponse): void {
    const transaction = call === 'POST /transactions' ? JSON.parse(body) as TransactionBody : undefined
    if (transaction === undefined && call !== 'PUT /objects') { sendJson(outgoing, 404, {}); return }
    const conflict = transaction === undefined ? undefined : rows.transact(transaction)
    if (transaction === undefined) objects.set(key, body)
    counts.writes += 1
    const keys = transaction?.writes.map((write) => write.key) ?? [key]
    if (takeLostResponse(faults, part, keys, random)) {
      counts.lostAnswers += 1
      outgoing.socket?.destroy()
    } else sendJson(outgoing, conflict === undefined ? 200 : 409, conflict ?? {})
  }

  async function handleCall (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const call = parseCall(incoming.method ?? '', new URL(incoming.url ?? '/', 'http://platform'))
    if (await handleControlRequest(call.call, incoming, outgoing)) return
    const body = await readText(incoming)
    const delay = computeDelay(faults, call.part, Date.now())
    if (delay > 0) await awaitTime(delay)
    const rateExceeded = isRateExceeded(call.kind)
    if (isDown(call.part) || rateExceeded) {
      counts.refused += 1
      sendJson(outgoing, isDown(call.part) ? 503 : 429, {})
    } else if (call.kind === 'write') handleWrite(call, body, outgoing)
    else handleRead(call, outgoing)
  }

  const server = createServer((incoming, outgoing) => {
    handleCall(incoming, outgoing).catch((error: unknown) => {
      if (!outgoing.headersSent) sendJson(outgoing, 400, { error: String(error) })
    })
  })
  return { server, faults, counts, callCounter }
}
