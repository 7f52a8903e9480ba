import * as z from 'zod'

const ADDRESS = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i

const MAX_PORT = 65_535

/** An IP address and port, such as `127.0.0.1:8080` or `[::1]:8080`. */
export const addressSchema = z.string().regex(ADDRESS, 'an IP address and port such as "127.0.0.1:8080"')
  .refine((address) => parseAddress(address).port <= MAX_PORT, `a port of at most ${MAX_PORT}`)

export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/** Splits a checked address into its parts; brackets around an IPv6 address are removed. */
export function parseAddress (address: string): HostAndPort {
  const split = address.lastIndexOf(':')
  return { host: address.slice(0, split).replace(/^\[|\]$/g, ''), port: Number(address.slice(split + 1)) }
}
