import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { validateWithSchema, formatProblem, drainOrderRequestSchema } from '@snipenotch/contracts'
import { createServerConnections } from '../connections/createServerConnections.js'
import type { ControlPlane } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import type { DataPlane } from '../requests/DataPlane.js'

/** Maximum size of a request body on the admin port, in bytes. */
const MAX_BODY_BYTES = 65_536

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function digestToken (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}

async function readJsonBody (incoming: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of incoming) {
    size += (chunk as Buffer).length
    if (size > MAX_BODY_BYTES) return undefined
    chunks.push(chunk as Buffer)
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8'))
  } catch {
    return undefined
  }
}

/**
 * Creates the HTTP server for operators: `GET /status`, `GET /explain?method=&path=`, `GET /metrics`, `GET /healthz`
 * and `POST /orders`. All endpoints except `/metrics` and `/healthz` require the operators' secret as a bearer token.
 */
export function createAdminServer (context: NodeContext, control: ControlPlane, dataPlane: DataPlane): Server {
  const expected = digestToken(`Bearer ${context.settings.secrets.operators}`)

  function isAuthorized (incoming: IncomingMessage): boolean {
    return timingSafeEqual(digestToken(incoming.headers.authorization ?? ''), expected)
  }

  async function handleOrder (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const checked = validateWithSchema(drainOrderRequestSchema, await readJsonBody(incoming), 'order')
    if (checked.isErr()) sendJson(outgoing, 400, { error: checked.error.map(formatProblem).join('; ') })
    else sendJson(outgoing, 200, control.submitOrder(checked.value))
  }

  async function handleRequest (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const url = new URL(incoming.url ?? '/', 'http://admin')
    const endpoint = `${incoming.method} ${url.pathname}`
    if (endpoint === 'GET /metrics') { outgoing.writeHead(200, { 'content-type': 'text/plain' }).end(context.counters.format()); return }
    if (endpoint === 'GET /healthz') { sendJson(outgoing, 200, { state: control.view.self().state }); return }
    if (!isAuthorized(incoming)) {
      context.counters.count('refusals', 'unauthenticated')
      sendJson(outgoing, 401, { error: 'missing or wrong bearer token' })
      return
    }
    switch (endpoint) {
      case 'GET /status': sendJson(outgoing, 200, control.readStatus()); return
      case 'GET /explain': {
        const { searchParams } = url
        sendJson(outgoing, 200, dataPlane.explain(searchParams.get('method') ?? 'GET', searchParams.get('path') ?? '/'))
        return
      }
      case 'POST /orders': await handleOrder(incoming, outgoing); return
      default: sendJson(outgoing, 404, { error: `no such endpoint: ${endpoint}` })
    }
  }

  const connections = createServerConnections(context.log)
  const server = createServer((incoming, outgoing) => {
    if (!connections.admitRequest(incoming, outgoing)) return
    handleRequest(incoming, outgoing).catch((error: unknown) => {
      context.log('internalError', { error: String(error) })
      if (!outgoing.headersSent) sendJson(outgoing, 500, { error: 'internal error' })
    })
  })
  connections.attach(server)
  return server
}
