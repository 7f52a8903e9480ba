import type { Agent } from 'node:http'
import { type HostAndPort, parseSocketAddress } from '@snipenotch/contracts'

/** Connection pool and address cache for requests to other nodes. */
export interface PeerTransport {
  /** Agent that pools the connections. */
  readonly agent: Agent
  /** Splits an address into host and port; results are cached. */
  readonly resolveAddress: (address: string) => HostAndPort
}

/** Maximum number of cached addresses, well above the number of hosts that a node connects to. */
const MAX_CACHED_ADDRESSES = 10_000

/** Creates a transport that uses `agent`. */
export function createPeerTransport (agent: Agent): PeerTransport {
  const parsedAddresses = new Map<string, HostAndPort>()
  return {
    agent,
    resolveAddress: (address) => {
      let parsed = parsedAddresses.get(address)
      if (parsed === undefined) {
        if (parsedAddresses.size >= MAX_CACHED_ADDRESSES) parsedAddresses.clear()
        parsed = parseSocketAddress(address)
        parsedAddresses.set(address, parsed)
      }
      return parsed
    }
  }
}
