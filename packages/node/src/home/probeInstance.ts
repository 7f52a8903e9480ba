import { HEADERS } from '@snipenotch/platform'
import type { ProbeReport } from '@snipenotch/decisions'
import { type IncomingMessage, request } from 'node:http'
import type { HostAddress } from '@snipenotch/contracts'

/** Time for the answer, in milliseconds: below the time between two status reports, which tell more. */
const PROBE_TIMEOUT_MS = 700
const HEALTHY_STATUS = 200

/** Head of the answer to a health probe; undefined if none comes in time. */
function fetchHealth ({ host, port }: HostAddress, path: string): Promise<IncomingMessage | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path, agent: false, timeout: PROBE_TIMEOUT_MS }, (incoming) => {
      incoming.resume()
      resolve(incoming)
    })
    outgoing.on('timeout', () => {
      resolve(undefined)
      outgoing.destroy()
    })
    // Whoever asks goes on without the answer.
    outgoing.on('error', () => { resolve(undefined) })
    outgoing.end()
  })
}

/** Asks the backend server how it is; undefined if it does not tell in time. */
export async function probeInstance (address: HostAddress, path: string): Promise<ProbeReport | undefined> {
  const incoming = await fetchHealth(address, path)
  const instance = incoming?.headers[HEADERS.instance]
  const coldMs = Number(incoming?.headers[HEADERS.coldMs] ?? 0)
  if (typeof instance !== 'string' || !Number.isFinite(coldMs)) return undefined
  return { instance, isHealthy: incoming?.statusCode === HEALTHY_STATUS, coldMs }
}
