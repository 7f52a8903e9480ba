import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { HEADERS, parseRequestKey, type RunOutcome, type RefusalReason } from '@snipenotch/contracts'
import { computeDeadline, parseAttempt } from '@snipenotch/decisions'
import type { ControlPlaneView } from '../../node/ControlPlaneView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeHandler } from '../HomeHandler.js'
import { createTokenVerifier } from '../meshToken.js'
import { readHeader } from '../readHeader.js'
import { sendRefusal } from '../sendRefusal.js'

/**
 * Creates the handler for requests forwarded by other nodes: it authenticates them and passes them to the home
 * handler.
 */
export function createPeerRequestHandler (
  context: NodeContext, view: ControlPlaneView, home: HomeHandler
): RequestListener {
  const { settings, counters, clock, log } = context
  const isTokenValid = createTokenVerifier(settings.secrets.mesh)

  function refuse (outgoing: ServerResponse, status: number, reason: RefusalReason, outcome: RunOutcome): void {
    sendRefusal(outgoing, counters, { status, reason, outcome })
  }

  return (incoming: IncomingMessage, outgoing: ServerResponse): void => {
    outgoing.on('error', () => undefined)
    if (!isTokenValid(readHeader(incoming, HEADERS.token))) {
      log('forwardedRequestUnauthenticated', { address: incoming.socket.remoteAddress })
      refuse(outgoing, 401, 'unauthenticated', 'unknown')
      return
    }
    const configuration = view.configuration()
    const route = configuration?.routes[readHeader(incoming, HEADERS.route) ?? '']
    const keyText = readHeader(incoming, HEADERS.key)
    if (route === undefined) {
      // The idempotency store is not consulted here, and an earlier attempt with this key may have run on this host.
      const outcome = keyText === undefined ? 'not-run' : 'unknown'
      if (configuration === undefined) refuse(outgoing, 503, 'no-configuration', outcome)
      else refuse(outgoing, 404, 'no-route', outcome)
      return
    }
    const key = route.idempotent || keyText === undefined ? undefined : parseRequestKey(keyText)
    if (!route.idempotent && key === undefined) {
      refuse(outgoing, 400, keyText === undefined ? 'key-required' : 'key-malformed', keyText === undefined ? 'not-run' : 'unknown')
      return
    }
    home.handle(incoming, outgoing, {
      route,
      key,
      deadlineAt: computeDeadline(clock.now(), readHeader(incoming, HEADERS.deadline), route.deadlineMs),
      attempt: parseAttempt(readHeader(incoming, HEADERS.attempt)),
      caller: readHeader(incoming, HEADERS.caller) ?? incoming.socket.remoteAddress ?? ''
    }, (refusal) => sendRefusal(outgoing, counters, refusal))
  }
}
