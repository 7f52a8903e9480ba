import { HEADERS } from '@snipenotch/platform'
import { request } from 'node:http'
import type { HostAddress } from '@snipenotch/contracts'

/** What a healthy backend server says of itself. */
export interface ProbedInstance {
  readonly instance: string
  /** Time for which it stays cold, in milliseconds. */
  readonly coldMs: number
}

/** Time for the answer, in milliseconds: below the time between two status reports, which tell more. */
const PROBE_TIMEOUT_MS = 700

/** Asks the backend server whether it is healthy; undefined if it is not, or does not answer in time. */
export function probeInstance ({ host, port }: HostAddress, path: string): Promise<ProbedInstance | undefined> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, path, agent: false, timeout: PROBE_TIMEOUT_MS }, (incoming) => {
      incoming.resume()
      const instance = incoming.headers[HEADERS.instance]
      const coldMs = Number(incoming.headers[HEADERS.coldMs] ?? 0)
      const isHealthy = incoming.statusCode === 200 && typeof instance === 'string' && Number.isFinite(coldMs)
      resolve(isHealthy ? { instance, coldMs } : undefined)
    })
    outgoing.on('timeout', () => {
      resolve(undefined)
      outgoing.destroy()
    })
    // The caller logs that the probe brought nothing.
    outgoing.on('error', () => { resolve(undefined) })
    outgoing.end()
  })
}
