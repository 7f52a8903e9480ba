import { computeBackoff } from './computeBackoff.js'
import {
  MAX_DIAL_FAILURE_RECORDS, MAX_RECONNECT_DELAY_MS, RECONNECT_BASE_MS, RELAY_EXCLUSION_MS
} from './controlLimits.js'
import type { CoreContext } from './CoreContext.js'

/** Dials peer addresses, with exponential backoff and full jitter after failures. */
export interface Dialer {
  /** Dials unless a link to the address exists, a dial is in progress, or the backoff has not elapsed. */
  readonly dial: (address: string) => void
  readonly handleOpened: (address: string) => void
  /** Records that a dial failed or that an established link broke. */
  readonly handleFailure: (address: string) => void
  /** Clears the failures of an address once its handshake is complete. */
  readonly handleEstablished: (address: string) => void
  /** True for `RELAY_EXCLUSION_MS` after the last of two or more consecutive failures. */
  readonly isExcluded: (address: string) => boolean
  /** Clears the failures of an address; called when the host at the address has restarted. */
  readonly reset: (address: string) => void
}

interface DialFailureRecord {
  failures: number
  failedAt: number
  retryAt: number
}

/** Creates a dialer that remembers the failures of at most `MAX_DIAL_FAILURE_RECORDS` addresses. */
export function createDialer (context: CoreContext): Dialer {
  const records = new Map<string, DialFailureRecord>()
  const dialing = new Set<string>()

  function isLinked (address: string): boolean {
    for (const peer of context.peers.values()) if (peer.address === address) return true
    return false
  }

  return {
    dial: (address) => {
      const record = records.get(address)
      if (address === context.self.peerAddress || dialing.has(address) || isLinked(address)) return
      if (record !== undefined && context.now < record.retryAt) return
      dialing.add(address)
      context.emit({ kind: 'dial', address })
    },
    handleOpened: (address) => { dialing.delete(address) },
    handleFailure: (address) => {
      dialing.delete(address)
      const failures = (records.get(address)?.failures ?? 0) + 1
      const delay = computeBackoff(failures, RECONNECT_BASE_MS, MAX_RECONNECT_DELAY_MS, context.settings.random)
      records.delete(address)
      records.set(address, { failures, failedAt: context.now, retryAt: context.now + delay })
      const [oldest] = records.keys()
      if (records.size > MAX_DIAL_FAILURE_RECORDS && oldest !== undefined) records.delete(oldest)
    },
    handleEstablished: (address) => { records.delete(address) },
    isExcluded: (address) => {
      const record = records.get(address)
      return record !== undefined && record.failures > 1 && context.now - record.failedAt < RELAY_EXCLUSION_MS
    },
    reset: (address) => { records.delete(address) }
  }
}
