import { createHostLoads, createVersionFaultDetector, LeastLoadedPolicy } from '@snipenotch/decisions'
import type { ControlPlane } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createRequestServer } from './createRequestServer.js'
import { createEntryHandler } from './entry/createEntryHandler.js'
import { createExchangeRunner } from './entry/createExchangeRunner.js'
import { createExplainer } from './entry/createExplainer.js'
import { createForwarder } from './entry/createForwarder.js'
import { createKeyIssuer } from './entry/createKeyIssuer.js'
import { createRouting } from './entry/createRouting.js'
import { createTryRecorder } from './entry/createTryRecorder.js'
import { createHomeHandler } from './home/createHomeHandler.js'
import { createPeerResponseClass } from './peers/createPeerResponseClass.js'
import { createPeersHandler } from './peers/createPeersHandler.js'
import type { RequestPlane } from './RequestPlane.js'

const EVIDENCE_INTERVAL_MS = 1000

/** Builds the request path of a node: servers for callers and for other nodes around one home handler. */
export function createRequestPlane (context: NodeContext, control: ControlPlane): RequestPlane {
  const { settings, clock, draw, log } = context
  const { view } = control
  const home = createHomeHandler(context, view, control)
  const guard = createVersionFaultDetector(draw)
  const loads = createHostLoads()
  const policy = new LeastLoadedPolicy(loads, draw)
  const routing = createRouting(context, view, policy, guard)
  const recorder = createTryRecorder(context, loads, guard)
  const forwarder = createForwarder(context)
  const runner = createExchangeRunner(context, control, { home, routing, forwarder, recorder, loads })
  const entry = createEntryHandler(context, view, routing, createKeyIssuer(context, routing), runner)
  let evidenceTimer: NodeJS.Timeout | undefined

  function reportEvidence (): void {
    const now = clock.now()
    const evidence = guard.takeEvidence(now)
    if (evidence.length > 0) control.reportEvidence(evidence)
    loads.prune(now)
  }

  return {
    requests: createRequestServer(context, entry.handle),
    peers: createRequestServer(
      context, createPeersHandler(context, view, home), createPeerResponseClass(home.formatLoad)
    ),
    start: () => {
      home.start()
      evidenceTimer = setInterval(reportEvidence, EVIDENCE_INTERVAL_MS)
      evidenceTimer.unref()
    },
    drain: async () => {
      const grace = settings.requests.drain_grace_ms
      log('drainStarted', { grace })
      await new Promise((resolve) => setTimeout(resolve, grace))
      // Work that the home finishes may call other services through this node, so callers are refused only after it.
      await home.drain()
      entry.stop()
      await runner.awaitIdle()
      clearInterval(evidenceTimer)
      reportEvidence()
      log('drainFinished')
    },
    explain: createExplainer(context, control, routing, guard, loads, policy)
  }
}
