import { PLATFORM_HEADERS } from '@snipenotch/platform'
import type { ProbeReport } from '@snipenotch/decisions'
import { type IncomingMessage, request } from 'node:http'
import type { SocketAddress } from '@snipenotch/contracts'

/** Probe timeout in milliseconds; shorter than the interval between status reports, which carry more information. */
const PROBE_TIMEOUT_MS = 700
const HEALTHY_STATUS = 200

/** Returns the response head of a health probe; undefined if none arrives before the timeout. */
function fetchHealth ({ host, port }: SocketAddress, path: string): Promise<IncomingMessage | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path, agent: false, timeout: PROBE_TIMEOUT_MS }, (incoming) => {
      incoming.resume()
      resolve(incoming)
    })
    outgoing.on('timeout', () => {
      resolve(undefined)
      outgoing.destroy()
    })
    // The prober continues without a response.
    outgoing.on('error', () => { resolve(undefined) })
    outgoing.end()
  })
}

/** Sends a health probe to the backend server; undefined if it does not answer in time or its headers are invalid. */
export async function probeInstance (address: SocketAddress, path: string): Promise<ProbeReport | undefined> {
  const incoming = await fetchHealth(address, path)
  const instance = incoming?.headers[PLATFORM_HEADERS.instance]
  const coldMs = Number(incoming?.headers[PLATFORM_HEADERS.coldMs] ?? 0)
  if (typeof instance !== 'string' || !Number.isFinite(coldMs)) return undefined
  return { instance, isHealthy: incoming?.statusCode === HEALTHY_STATUS, coldMs }
}
