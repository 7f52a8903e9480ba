import * as z from 'zod'

const ADDRESS_PATTERN = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/i

const MAX_PORT = 65_535

/** Socket address: an IP address and port, such as `127.0.0.1:8080` or `[::1]:8080`. */
export const addressSchema = z.string().regex(ADDRESS_PATTERN, 'an IP address and port such as "127.0.0.1:8080"')
  .refine((address) => parseSocketAddress(address).port <= MAX_PORT, `a port of at most ${MAX_PORT}`)

/** Socket address to connect to: as `addressSchema`, without port 0. */
export const remoteAddressSchema = addressSchema
  .refine((address) => parseSocketAddress(address).port > 0, 'a port other than 0')

/** Parts of a socket address. IPv6 addresses are without brackets. */
export interface HostAndPort {
  readonly host: string
  readonly port: number
}

/** Splits a validated socket address into host and port, and removes the brackets around an IPv6 address. */
export function parseSocketAddress (address: string): HostAndPort {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(address.slice(separator + 1)) }
}
