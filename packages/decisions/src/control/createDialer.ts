import { computeBackoff } from './computeBackoff.js'
import { AVOID_MS, MAX_DIAL_RECORDS, RECONNECT_BASE_MS, RECONNECT_LIMIT_MS } from './controlLimits.js'
import type { CoreContext } from './CoreContext.js'

/** Dials addresses with an exponential, fully jittered delay after failures. */
export interface Dialer {
  /** Dials unless a link to the address exists, a dial is under way, or its delay has not passed. */
  readonly dial: (address: string) => void
  readonly handleOpened: (address: string) => void
  /** Records that a dial failed or that an established link broke. */
  readonly handleFailure: (address: string) => void
  readonly handleGreeted: (address: string) => void
  /** True for a while after the last dial failed. */
  readonly isAvoided: (address: string) => boolean
  /** Forgets failures; called when the host at the address has started anew. */
  readonly reset: (address: string) => void
}

interface DialRecord {
  failures: number
  failedAt: number
  nextAt: number
}

export function createDialer (context: CoreContext): Dialer {
  const records = new Map<string, DialRecord>()
  const dialing = new Set<string>()

  function isLinked (address: string): boolean {
    for (const peer of context.peers.values()) if (peer.address === address) return true
    return false
  }

  return {
    dial: (address) => {
      const record = records.get(address)
      if (address === context.self.peerAddress || dialing.has(address) || isLinked(address)) return
      if (record !== undefined && context.now < record.nextAt) return
      dialing.add(address)
      context.emit({ kind: 'dial', address })
    },
    handleOpened: (address) => { dialing.delete(address) },
    handleFailure: (address) => {
      dialing.delete(address)
      const failures = (records.get(address)?.failures ?? 0) + 1
      const delay = computeBackoff(failures, RECONNECT_BASE_MS, RECONNECT_LIMIT_MS, context.settings.draw)
      records.delete(address)
      records.set(address, { failures, failedAt: context.now, nextAt: context.now + delay })
      const [oldest] = records.keys()
      if (records.size > MAX_DIAL_RECORDS && oldest !== undefined) records.delete(oldest)
    },
    handleGreeted: (address) => { records.delete(address) },
    isAvoided: (address) => {
      const record = records.get(address)
      return record !== undefined && record.failures > 1 && context.now - record.failedAt < AVOID_MS
    },
    reset: (address) => { records.delete(address) }
  }
}
