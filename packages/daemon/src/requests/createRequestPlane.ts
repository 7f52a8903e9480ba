import { Agent, createServer, request as sendHttp, type IncomingMessage, type ServerResponse } from 'node:http'
import { HEADERS, parseAddress, type Endpoint, type RefusalReason, type Route } from '@snipenotch/contracts'
import type { MeshView } from '../node/MeshView.js'
import type { NodeContext } from '../node/NodeContext.js'
import type { RequestPlane } from './RequestPlane.js'

function findRoute (view: MeshView, method: string, path: string): Route | undefined {
  let best: Route | undefined
  for (const route of Object.values(view.configuration()?.routes ?? {})) {
    const matches = route.method === method && (path === route.path || path.startsWith(route.path.replace(/\/$/, '') + '/'))
    if (matches && route.path.length > (best?.path.length ?? -1)) best = route
  }
  return best
}

/** Forwards each request to a random serving endpoint of its route's service. */
export function createRequestPlane (context: NodeContext, view: MeshView): RequestPlane {
  const { settings, identity, counters, draw } = context
  const agent = new Agent({ keepAlive: true })

  function refuse (outgoing: ServerResponse, status: number, reason: RefusalReason): void {
    counters.count('refusals', reason)
    outgoing.writeHead(status, { [HEADERS.outcome]: 'not-run', [HEADERS.reason]: reason }).end()
  }

  function forward (incoming: IncomingMessage, outgoing: ServerResponse, address: string): void {
    const upstream = sendHttp({
      ...parseAddress(address), agent, method: incoming.method ?? 'GET', path: incoming.url ?? '/', headers: incoming.headers
    }, (answer) => {
      outgoing.writeHead(answer.statusCode ?? 502, answer.headers)
      answer.pipe(outgoing)
    })
    upstream.on('error', () => {
      if (outgoing.headersSent) outgoing.destroy()
      else outgoing.writeHead(502, { [HEADERS.outcome]: 'unknown', [HEADERS.reason]: 'backend-failed' }).end()
    })
    outgoing.on('close', () => { if (!outgoing.writableFinished) upstream.destroy() })
    incoming.pipe(upstream)
  }

  function chooseEndpoint (service: string): Endpoint | undefined {
    const candidates = view.listEndpoints(service)
    return candidates[Math.floor(draw() * candidates.length)]
  }

  function handleEntry (incoming: IncomingMessage, outgoing: ServerResponse): void {
    counters.count('requests', 'entry')
    if (view.configuration() === undefined) { refuse(outgoing, 503, 'no-configuration'); return }
    const route = findRoute(view, incoming.method ?? '', new URL(incoming.url ?? '/', 'http://mesh').pathname)
    if (route === undefined) { refuse(outgoing, 404, 'no-route'); return }
    const endpoint = chooseEndpoint(route.service)
    if (endpoint === undefined) { refuse(outgoing, 503, 'no-backend-server'); return }
    if (endpoint.host === identity.host) handleHome(incoming, outgoing)
    else forward(incoming, outgoing, endpoint.peerAddress)
  }

  function handleHome (incoming: IncomingMessage, outgoing: ServerResponse): void {
    counters.count('requests', 'home')
    if (settings.backend === undefined) { refuse(outgoing, 503, 'no-backend-server'); return }
    forward(incoming, outgoing, settings.backend.address)
  }

  const requests = createServer(handleEntry)
  const peers = createServer(handleHome)
  return {
    requests,
    peers,
    start: () => undefined,
    drain: () => Promise.resolve(),
    explain: (method, path) => {
      const route = findRoute(view, method, path)
      return {
        configurationVersion: view.configuration()?.version ?? 0,
        ...(route === undefined ? {} : { route: route.name, service: route.service }),
        reason: route === undefined ? 'no route matches' : 'route matches',
        candidates: []
      }
    }
  }
}
