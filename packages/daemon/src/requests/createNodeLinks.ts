import type { Agent } from 'node:http'
import { type HostAndPort, parseSocketAddress } from '@snipenotch/contracts'

/** Connections and addresses for sending requests to other processes. */
export interface NodeLinks {
  readonly agent: Agent
  /** Parts of an address; parsed once for each address. */
  readonly resolveAddress: (address: string) => HostAndPort
}

/** Addresses kept; far more than the hosts that a node talks to. */
const MAX_ADDRESSES = 10_000

/** Creates links that use `agent`. */
export function createNodeLinks (agent: Agent): NodeLinks {
  const addresses = new Map<string, HostAndPort>()
  return {
    agent,
    resolveAddress: (address) => {
      let parsed = addresses.get(address)
      if (parsed === undefined) {
        if (addresses.size >= MAX_ADDRESSES) addresses.clear()
        parsed = parseSocketAddress(address)
        addresses.set(address, parsed)
      }
      return parsed
    }
  }
}
