import { createHostLoads, createVersionFaultDetector, LeastLoadedPolicy } from '@snipenotch/decisions'
import { createServerConnections } from '../connections/createServerConnections.js'
import type { ControlPlane } from '../node/ControlPlane.js'
import type { NodeContext } from '../node/NodeContext.js'
import { createRequestServer } from './createRequestServer.js'
import { createEntryHandler } from './entry/createEntryHandler.js'
import { createExchangeRunner } from './entry/createExchangeRunner.js'
import { createExplainer } from './entry/createExplainer.js'
import { createForwarder } from './entry/createForwarder.js'
import { createKeyIssuer } from './entry/createKeyIssuer.js'
import { createRouter } from './entry/createRouter.js'
import { createAttemptRecorder } from './entry/createAttemptRecorder.js'
import { createHomeHandler } from './home/createHomeHandler.js'
import { createPeerResponseClass } from './peers/createPeerResponseClass.js'
import { createPeerRequestHandler } from './peers/createPeerRequestHandler.js'
import type { DataPlane } from './DataPlane.js'

/** Interval between reports of version evidence to the control plane. */
const EVIDENCE_INTERVAL_MS = 1000

/** Creates the data plane of a node: HTTP servers for callers and for other nodes that share one home handler. */
export function createDataPlane (context: NodeContext, control: ControlPlane): DataPlane {
  const { settings, clock, random, log } = context
  const { view } = control
  const home = createHomeHandler(context, view, control)
  const versionFaultDetector = createVersionFaultDetector(random)
  const hostLoads = createHostLoads()
  const balancingPolicy = new LeastLoadedPolicy(hostLoads, random)
  const router = createRouter(context, view, balancingPolicy, versionFaultDetector)
  const recorder = createAttemptRecorder(context, hostLoads, versionFaultDetector)
  const forwarder = createForwarder(context)
  const runner = createExchangeRunner(context, control, { home, router, forwarder, recorder, hostLoads })
  const entry = createEntryHandler(context, view, router, createKeyIssuer(context, router), runner)
  const callerConnections = createServerConnections(log)
  let evidenceTimer: NodeJS.Timeout | undefined

  function reportEvidence (): void {
    const now = clock.now()
    const evidence = versionFaultDetector.takeEvidence(now)
    if (evidence.length > 0) control.reportEvidence(evidence)
    hostLoads.prune(now)
  }

  return {
    callerServer: createRequestServer(context, entry.handle, { connections: callerConnections }),
    peerServer: createRequestServer(context, createPeerRequestHandler(context, view, home), {
      responseClass: createPeerResponseClass(home.formatLoad)
    }),
    start: () => {
      home.start()
      evidenceTimer = setInterval(reportEvidence, EVIDENCE_INTERVAL_MS)
      evidenceTimer.unref()
    },
    drain: async () => {
      const grace = settings.requests.drain_grace_ms
      log('drainStarted', { grace })
      await new Promise((resolve) => setTimeout(resolve, grace))
      callerConnections.limitStalls()
      // Requests that the backend server is still running may call other services through this node, so the entry
      // handler
      // stops only after the home handler has drained.
      await home.drain()
      entry.stop()
      await runner.awaitIdle()
      clearInterval(evidenceTimer)
      reportEvidence()
      log('drainFinished')
    },
    explain: createExplainer(context, control, router, versionFaultDetector, hostLoads, balancingPolicy)
  }
}
