import type { HostAddress } from '@snipenotch/contracts'

/** Parses `host:port`. */
export function parseAddress (text: string): HostAddress {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Formats an address as `host:port`, as in host records. */
export function formatAddress ({ host, port }: HostAddress): string {
  return `${host}:${port}`
}
