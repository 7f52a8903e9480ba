import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import {
  type Configuration, type Endpoint, HEADERS, type RunOutcome, parseRequestKey, type RefusalReason, type RequestKey
} from '@snipenotch/contracts'
import { computeDeadline, parseAttempt } from '@snipenotch/decisions'
import type { ControlPlaneView } from '../../node/ControlPlaneView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import { hasBody } from '../hasBody.js'
import { readHeader } from '../readHeader.js'
import { sendRefusal } from '../sendRefusal.js'
import type { KeyIssuer } from './createKeyIssuer.js'
import type { MatchedRoute, Router } from './createRouter.js'
import type { ExchangeRunner } from './createExchangeRunner.js'
import type { EntryExchange } from './EntryExchange.js'
import { parseTargetPath } from './parseTargetPath.js'

/** Handles requests of callers at the entry node. */
export interface EntryHandler {
  readonly handle: RequestListener
  /** Refuses all further requests. */
  readonly stop: () => void
}

/** Path at which callers obtain a request key. */
const KEY_PATH = '/.snipenotch/key'

/**
 * Creates the handler for callers' requests: it matches the route, validates the key, chooses a host and starts the
 * exchange.
 */
export function createEntryHandler (
  context: NodeContext, view: ControlPlaneView, router: Router, issueKey: KeyIssuer, runner: ExchangeRunner
): EntryHandler {
  const { counters, clock } = context
  let stopped = false

  function refuse (
    outgoing: ServerResponse, status: number, reason: RefusalReason, outcome: RunOutcome, headers?: readonly string[]
  ): void {
    sendRefusal(outgoing, counters, { status, reason, outcome }, headers)
  }

  /** Without a route, a key may belong to a non-idempotent request of which an earlier attempt may have run. */
  function getUnroutedOutcome (incoming: IncomingMessage): RunOutcome {
    return incoming.headers[HEADERS.key] === undefined ? 'not-run' : 'unknown'
  }

  function findRoute (
    configuration: Configuration, method: string, path: string, outcome: RunOutcome, outgoing: ServerResponse
  ): MatchedRoute | undefined {
    const matched = router.find(configuration, method, path)
    if (matched !== undefined) return matched
    if (router.hasPath(configuration, path)) refuse(outgoing, 405, 'method-not-routed', outcome)
    else refuse(outgoing, 404, 'no-route', outcome)
    return undefined
  }

  function handleKeyRequest (configuration: Configuration, incoming: IncomingMessage, outgoing: ServerResponse): void {
    const searchParams = URL.parse(incoming.url ?? '/', 'http://mesh')?.searchParams
    if (searchParams === undefined) { refuse(outgoing, 400, 'head-malformed', 'not-run'); return }
    const path = parseTargetPath(searchParams.get('path') ?? '/')
    const matched = findRoute(configuration, searchParams.get('method') ?? 'POST', path, 'not-run', outgoing)
    if (matched === undefined) return
    const key = issueKey(matched)
    if (key === undefined) { refuse(outgoing, 503, 'no-backend-server', 'not-run'); return }
    const body = JSON.stringify({ key, route: matched.route.name, required: !matched.route.idempotent })
    outgoing.writeHead(200, { 'content-type': 'application/json', 'cache-control': 'no-store' }).end(body)
  }

  function createExchange (
    incoming: IncomingMessage, outgoing: ServerResponse, matched: MatchedRoute, key: RequestKey | undefined
  ): EntryExchange {
    const startedAt = clock.now()
    return {
      incoming,
      outgoing,
      matched,
      startedAt,
      deadlineAt: computeDeadline(startedAt, readHeader(incoming, HEADERS.deadline), matched.route.deadlineMs),
      key,
      incomingAttempt: parseAttempt(readHeader(incoming, HEADERS.attempt)),
      caller: readHeader(incoming, HEADERS.caller) ?? incoming.socket.remoteAddress ?? '',
      hasBody: hasBody(incoming),
      triedHosts: [],
      attempts: 0,
      upstream: undefined,
      isSent: false,
      mayHaveRun: false,
      deadlineTimer: undefined,
      bytesReadAtDeadline: 0,
      closed: false
    }
  }

  /**
   * Returns the home endpoint that a key names, if it is live in the same incarnation; otherwise refuses the request.
   */
  function findHome (matched: MatchedRoute, key: RequestKey, outgoing: ServerResponse): Endpoint | undefined {
    const home = view.findEndpoint(key.host)
    if (home?.incarnation !== key.incarnation || home.state === 'left') refuse(outgoing, 409, 'key-home-gone', 'unknown')
    else if (home.service !== matched.service.name) refuse(outgoing, 409, 'key-mismatch', 'unknown')
    else return home
    return undefined
  }

  function handleKeyedRequest (incoming: IncomingMessage, outgoing: ServerResponse, matched: MatchedRoute): void {
    const text = readHeader(incoming, HEADERS.key)
    if (text === undefined) {
      const newKey = issueKey(matched)
      if (newKey === undefined) refuse(outgoing, 503, 'no-backend-server', 'not-run')
      else refuse(outgoing, 428, 'key-required', 'not-run', [HEADERS.issuedKey, newKey])
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
      const path = parseTargetPath(incoming.url ?? '/')
      if (path === KEY_PATH && incoming.method === 'GET') { handleKeyRequest(configuration, incoming, outgoing); return }
      const matched = findRoute(configuration, incoming.method ?? '', path, getUnroutedOutcome(incoming), outgoing)
      if (matched === undefined) return
      if (!matched.route.idempotent) { handleKeyedRequest(incoming, outgoing, matched); return }
      const endpoint = router.chooseHost(matched, [])
      if (endpoint === undefined) { refuse(outgoing, 503, 'no-backend-server', 'not-run'); return }
      runner.run(createExchange(incoming, outgoing, matched, undefined), endpoint)
    },
    stop: () => { stopped = true }
  }
}
