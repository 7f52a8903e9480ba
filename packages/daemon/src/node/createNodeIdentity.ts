import { randomInt } from 'node:crypto'
import type { Clock, DaemonSettings } from '@snipenotch/contracts'

/** Identity of this process: its host, and an incarnation that distinguishes it from earlier processes on the host. */
export interface NodeIdentity {
  readonly host: string
  readonly dataCentre: string
  readonly incarnation: number
}

/** Range of the random part of an incarnation, which distinguishes two starts within one millisecond. */
const INCARNATIONS_PER_MS = 1000

/**
 * Creates the identity of this process; the incarnation is the wall-clock time in milliseconds times 1000 plus a
 * random part.
 */
export function createNodeIdentity (settings: DaemonSettings, clock: Clock): NodeIdentity {
  return {
    host: settings.host,
    dataCentre: settings.data_centre,
    incarnation: Math.floor(clock.wall()) * INCARNATIONS_PER_MS + randomInt(INCARNATIONS_PER_MS)
  }
}
