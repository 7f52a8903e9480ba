import { createRequestKey, formatRequestKey } from '@snipenotch/contracts'
import type { NodeContext } from '../../node/NodeContext.js'
import type { MatchedRoute, Router } from './createRouter.js'

/** Returns the text of a new key whose home is a host chosen for the route; undefined if no host serves the route. */
export type KeyIssuer = (matched: MatchedRoute) => string | undefined

/** Creates a key issuer that chooses hosts through `router`. */
export function createKeyIssuer (context: NodeContext, router: Router): KeyIssuer {
  return (matched) => {
    const home = router.chooseHost(matched, [])
    if (home === undefined) return undefined
    return formatRequestKey(createRequestKey(home.host, home.incarnation, context.clock.wall()))
  }
}
