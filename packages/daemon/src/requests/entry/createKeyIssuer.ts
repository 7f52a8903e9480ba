import { createRequestKey, formatRequestKey } from '@snipenotch/contracts'
import type { NodeContext } from '../../node/NodeContext.js'
import type { MatchedRoute, Routing } from './createRouting.js'

/** Gives the text of a fresh key that names a host chosen for the route; undefined if no host serves it. */
export type KeyIssuer = (matched: MatchedRoute) => string | undefined

export function createKeyIssuer (context: NodeContext, routing: Routing): KeyIssuer {
  return (matched) => {
    const home = routing.chooseHost(matched, [])
    if (home === undefined) return undefined
    return formatRequestKey(createRequestKey(home.host, home.incarnation, context.clock.wall()))
  }
}
