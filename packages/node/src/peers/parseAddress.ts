import type { SocketAddress } from '@snipenotch/contracts'

/** Splits `host:port`. */
export function parseAddress (text: string): SocketAddress {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Joins an address as records hold it. */
export function formatAddress ({ host, port }: SocketAddress): string {
  return `${host}:${port}`
}
