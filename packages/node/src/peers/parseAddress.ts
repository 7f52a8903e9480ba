import type { HostAddress } from '@snipenotch/contracts'

/** Splits `host:port`. */
export function parseAddress (text: string): HostAddress {
  const colon = text.lastIndexOf(':')
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) }
}

/** Joins an address as records hold it. */
export function formatAddress ({ host, port }: HostAddress): string {
  return `${host}:${port}`
}
