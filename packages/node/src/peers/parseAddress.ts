import type { SocketAddress } from '@snipenotch/contracts'

/** Parses `host:port`. */
export function parseAddress (text: string): SocketAddress {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Formats an address as `host:port`, as in host records. */
export function formatAddress ({ host, port }: SocketAddress): string {
  return `${host}:${port}`
}
