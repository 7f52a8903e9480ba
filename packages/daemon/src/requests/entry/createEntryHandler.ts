import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import {
  type Configuration, type Endpoint, HEADERS, type RunOutcome, parseRequestKey, type RefusalReason, type RequestKey
} from '@snipenotch/contracts'
import { computeDeadline, parseAttempt } from '@snipenotch/decisions'
import type { MeshView } from '../../node/MeshView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import { hasBody } from '../hasBody.js'
import { readHeader } from '../readHeader.js'
import { sendRefusal } from '../sendRefusal.js'
import type { KeyIssuer } from './createKeyIssuer.js'
import type { MatchedRoute, Routing } from './createRouting.js'
import type { ExchangeRunner } from './createExchangeRunner.js'
import type { Exchange } from './Exchange.js'
import { splitPath } from './splitTarget.js'

export interface EntryHandler {
  readonly handle: RequestListener
  /** Refuses every request from now on. */
  readonly stop: () => void
}

const KEY_PATH = '/.snipenotch/key'

/** Takes requests of callers: checks route and key, chooses a host and runs the exchange. */
export function createEntryHandler (
  context: NodeContext, view: MeshView, routing: Routing, issueKey: KeyIssuer, runner: ExchangeRunner
): EntryHandler {
  const { counters, clock } = context
  let stopped = false

  function refuse (
    outgoing: ServerResponse, status: number, reason: RefusalReason, outcome: RunOutcome, headers?: readonly string[]
  ): void {
    sendRefusal(outgoing, counters, { status, reason, outcome }, headers)
  }

  /** Before a route is known, any key may belong to a non-idempotent one, of which an earlier copy may have run. */
  function getUnroutedOutcome (incoming: IncomingMessage): RunOutcome {
    return incoming.headers[HEADERS.key] === undefined ? 'not-run' : 'unknown'
  }

  function findRoute (
    configuration: Configuration, method: string, path: string, outcome: RunOutcome, outgoing: ServerResponse
  ): MatchedRoute | undefined {
    const matched = routing.find(configuration, method, path)
    if (matched !== undefined) return matched
    if (routing.hasPath(configuration, path)) refuse(outgoing, 405, 'method-not-routed', outcome)
    else refuse(outgoing, 404, 'no-route', outcome)
    return undefined
  }

  function handleKeyRequest (configuration: Configuration, incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { searchParams } = new URL(incoming.url ?? '/', 'http://mesh')
    const path = splitPath(searchParams.get('path') ?? '/')
    const matched = findRoute(configuration, searchParams.get('method') ?? 'POST', path, 'not-run', outgoing)
    if (matched === undefined) return
    const key = issueKey(matched)
    if (key === undefined) { refuse(outgoing, 503, 'no-backend-server', 'not-run'); return }
    const body = JSON.stringify({ key, route: matched.route.name, required: !matched.route.idempotent })
    outgoing.writeHead(200, { 'content-type': 'application/json', 'cache-control': 'no-store' }).end(body)
  }

  function createExchange (
    incoming: IncomingMessage, outgoing: ServerResponse, matched: MatchedRoute, key: RequestKey | undefined
  ): Exchange {
    const startedAt = clock.now()
    return {
      incoming,
      outgoing,
      matched,
      startedAt,
      deadlineAt: computeDeadline(startedAt, readHeader(incoming, HEADERS.deadline), matched.route.deadlineMs),
      key,
      arrivedAttempt: parseAttempt(readHeader(incoming, HEADERS.attempt)),
      caller: readHeader(incoming, HEADERS.caller) ?? incoming.socket.remoteAddress ?? '',
      hasBody: hasBody(incoming),
      tried: [],
      tries: 0,
      upstream: undefined,
      sent: false,
      mayHaveRun: false,
      deadlineTimer: undefined,
      bytesRead: 0,
      closed: false
    }
  }

  /** The home that a key names, if it is live in the same incarnation; refuses the request otherwise. */
  function findHome (matched: MatchedRoute, key: RequestKey, outgoing: ServerResponse): Endpoint | undefined {
    const home = view.findEndpoint(key.host)
    if (home?.incarnation !== key.incarnation || home.state === 'left') refuse(outgoing, 409, 'key-home-gone', 'unknown')
    else if (home.service !== matched.service.name) refuse(outgoing, 409, 'key-mismatch', 'unknown')
    else return home
    return undefined
  }

  function handleKeyed (incoming: IncomingMessage, outgoing: ServerResponse, matched: MatchedRoute): void {
    const text = readHeader(incoming, HEADERS.key)
    if (text === undefined) {
      const fresh = issueKey(matched)
      if (fresh === undefined) refuse(outgoing, 503, 'no-backend-server', 'not-run')
      else refuse(outgoing, 428, 'key-required', 'not-run', [HEADERS.issuedKey, fresh])
      return
    }
    const key = parseRequestKey(text)
    if (key === undefined) { refuse(outgoing, 400, 'key-malformed', 'unknown'); return }
    const home = findHome(matched, key, outgoing)
    if (home !== undefined) runner.run(createExchange(incoming, outgoing, matched, key), home)
  }

  return {
    handle: (incoming, outgoing) => {
      counters.count('requests', 'entry')
      outgoing.on('error', () => undefined)
      const configuration = view.configuration()
      if (stopped) { refuse(outgoing, 503, 'draining', getUnroutedOutcome(incoming), ['connection', 'close']); return }
      if (configuration === undefined) { refuse(outgoing, 503, 'no-configuration', getUnroutedOutcome(incoming)); return }
      const path = splitPath(incoming.url ?? '/')
      if (path === KEY_PATH && incoming.method === 'GET') { handleKeyRequest(configuration, incoming, outgoing); return }
      const matched = findRoute(configuration, incoming.method ?? '', path, getUnroutedOutcome(incoming), outgoing)
      if (matched === undefined) return
      if (!matched.route.idempotent) { handleKeyed(incoming, outgoing, matched); return }
      const endpoint = routing.chooseHost(matched, [])
      if (endpoint === undefined) { refuse(outgoing, 503, 'no-backend-server', 'not-run'); return }
      runner.run(createExchange(incoming, outgoing, matched, undefined), endpoint)
    },
    stop: () => { stopped = true }
  }
}
