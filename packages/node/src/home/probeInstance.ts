import { PLATFORM_HEADERS } from '@snipenotch/platform'
import type { ProbeReport } from '@snipenotch/decisions'
import { type IncomingMessage, request } from 'node:http'
import type { SocketAddress } from '@snipenotch/contracts'

/** Probe timeout in milliseconds; shorter than the interval between status reports, which carry more information. */
const PROBE_TIMEOUT_MS = 700
const HEALTHY_STATUS = 200

/** Result of a health probe that no backend server answered. */
export type ProbeFailure = 'refused' | 'unanswered'

/** Returns the response head of a health probe, or why there is none. */
function fetchHealth ({ host, port }: SocketAddress, path: string): Promise<IncomingMessage | ProbeFailure> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path, agent: false }, (incoming) => {
      incoming.resume()
      resolve(incoming)
    })
    // A limit on the whole exchange: a faulty server may keep sending a head or a body without end.
    const timer = setTimeout(() => {
      resolve('unanswered')
      outgoing.destroy()
    }, PROBE_TIMEOUT_MS)
    outgoing.on('close', () => { clearTimeout(timer) })
    // The prober continues without a response.
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      resolve(error.code === 'ECONNREFUSED' ? 'refused' : 'unanswered')
    })
    outgoing.end()
  })
}

/**
 * Sends a health probe to the backend server. `refused` means that it refuses connections, `unanswered` that it does
 * not answer in time or that its headers are invalid.
 */
export async function probeInstance (address: SocketAddress, path: string): Promise<ProbeReport | ProbeFailure> {
  const incoming = await fetchHealth(address, path)
  if (typeof incoming === 'string') return incoming
  const instance = incoming.headers[PLATFORM_HEADERS.instance]
  const coldMs = Number(incoming.headers[PLATFORM_HEADERS.coldMs] ?? 0)
  if (typeof instance !== 'string' || !Number.isFinite(coldMs)) return 'unanswered'
  return { instance, isHealthy: incoming.statusCode === HEALTHY_STATUS, coldMs }
}
