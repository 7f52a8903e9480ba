import { request as sendHttp } from 'node:http'
import { HEADERS, type RefusalReason, type Outcome } from '@snipenotch/contracts'
import { computeRemaining } from '@snipenotch/decisions'
import type { ControlPlane } from '../../node/ControlPlane.js'
import type { MeshView } from '../../node/MeshView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import { createNodeLinks } from '../createNodeLinks.js'
import { filterRequestHeaders } from '../filterHeaders.js'
import { GuardedAgent } from '../GuardedAgent.js'
import { hasBody } from '../hasBody.js'
import type { HomeHandler } from '../HomeHandler.js'
import { forwardAnswer, forwardBody } from '../forwardAnswer.js'

/** Home handler without admission or duplicate suppression: sends each request to the backend server. */
export function createHomeHandler (context: NodeContext, view: MeshView, _control: ControlPlane): HomeHandler {
  const { settings, counters, clock } = context
  const links = createNodeLinks(new GuardedAgent(settings.backend?.connections ?? 1))
  let running = 0
  let draining = false
  const waiting: Array<() => void> = []

  function release (): void {
    running -= 1
    if (running === 0) for (const resolve of waiting.splice(0)) resolve()
  }

  return {
    handle: (incoming, outgoing, request, refuse) => {
      counters.count('requests', 'home')
      const refuseWith = (status: number, reason: RefusalReason, outcome: Outcome): void => {
        refuse({ status, reason, outcome })
      }
      if (draining) { refuseWith(503, 'draining', 'not-run'); return }
      const isForeign = request.key !== undefined && request.key.incarnation !== view.self().incarnation
      if (isForeign) { refuseWith(409, 'key-home-gone', 'unknown'); return }
      if (settings.backend === undefined) { refuseWith(503, 'no-backend-server', 'not-run'); return }
      running += 1
      const headers = filterRequestHeaders(incoming.rawHeaders, incoming.headers.connection)
      if (incoming.headers['transfer-encoding'] !== undefined) headers.push('transfer-encoding', 'chunked')
      headers.push(
        HEADERS.deadline, String(computeRemaining(clock.now(), request.deadlineAt)),
        HEADERS.attempt, String(request.attempt), HEADERS.caller, request.caller
      )
      let connected = false
      let answered = false
      const upstream = sendHttp({
        ...links.resolveAddress(settings.backend.address),
        agent: links.agent,
        method: incoming.method ?? 'GET',
        path: incoming.url ?? '/',
        headers
      })
      upstream.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => { connected = true })
        else connected = true
      })
      upstream.on('response', (answer) => {
        answered = true
        forwardAnswer(answer, outgoing, release)
      })
      upstream.on('error', () => {
        if (answered) return
        release()
        if (outgoing.destroyed) return
        if (connected) refuseWith(502, 'backend-failed', 'unknown')
        else refuseWith(503, 'backend-unreachable', 'not-run')
      })
      outgoing.on('close', () => { if (!outgoing.writableFinished) upstream.destroy() })
      if (!hasBody(incoming)) { upstream.end(); return }
      forwardBody(incoming, upstream)
      incoming.on('end', () => upstream.end())
    },
    formatLoad: () => `${running},0,${settings.backend?.slots ?? 0}`,
    start: () => undefined,
    drain: () => {
      draining = true
      return running === 0 ? Promise.resolve() : new Promise((resolve) => waiting.push(resolve))
    }
  }
}
