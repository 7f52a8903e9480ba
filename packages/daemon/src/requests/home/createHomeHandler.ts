import type { ControlPlane } from '../../node/ControlPlane.js'
import type { ControlPlaneView } from '../../node/ControlPlaneView.js'
import type { NodeContext } from '../../node/NodeContext.js'
import type { HomeHandler } from '../HomeHandler.js'
import { createBackendHandler } from './createBackendHandler.js'

/** Creates the handler of a node without a backend server, which refuses all requests. */
function createEmptyHandler ({ counters }: NodeContext): HomeHandler {
  return {
    handle: (_incoming, _outgoing, _request, refuse) => {
      counters.count('requests', 'home')
      counters.count('refusals', 'no-backend-server')
      refuse({ status: 503, reason: 'no-backend-server', outcome: 'not-run' })
    },
    formatLoad: () => '0,0,0',
    start: () => undefined,
    drain: () => Promise.resolve()
  }
}

/**
 * Creates the home handler for the backend server in the settings; without one, a handler that refuses all requests.
 */
export function createHomeHandler (context: NodeContext, view: ControlPlaneView, control: ControlPlane): HomeHandler {
  const { backend } = context.settings
  return backend === undefined ? createEmptyHandler(context) : createBackendHandler(context, view, control, backend)
}
