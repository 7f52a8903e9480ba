import { randomInt } from 'node:crypto'
import type { Clock, DaemonSettings } from '@snipenotch/contracts'

/** Who this process is: its host for its lifetime, and the incarnation that tells it from earlier processes there. */
export interface Identity {
  readonly host: string
  readonly dataCentre: string
  readonly incarnation: number
}

/** Random part of an incarnation, so that two starts within one millisecond differ. */
const INCARNATION_SPREAD = 1000

/** Derives the identity of this process; the incarnation is wall-clock milliseconds times 1000 plus a random part. */
export function createIdentity (settings: DaemonSettings, clock: Clock): Identity {
  return {
    host: settings.host,
    dataCentre: settings.data_centre,
    incarnation: Math.floor(clock.wall()) * INCARNATION_SPREAD + randomInt(INCARNATION_SPREAD)
  }
}
