import { getRowEra } from '@snipenotch/contracts'
import type { StoreEra as ClientStoreEra } from '@snipenotch/platform'
import type { NodeContext } from '../NodeContext.js'
import type { TableUpdate } from './rowsCodec.js'

/** The newest era of the store that this node knows; the era increases with each restore of the store from a copy. */
export interface StoreEra extends ClientStoreEra {
  /** Learns the era from rows of a peer. */
  readonly observeUpdates: (updates: readonly TableUpdate[]) => void
}

/** Creates the era of a store that was never restored. */
export function createStoreEra ({ log }: Pick<NodeContext, 'log'>): StoreEra {
  const listeners = new Set<() => void>()
  let current = 0

  function advance (era: number): void {
    if (era <= current) return
    current = era
    log('storeRestored', { era })
    for (const listener of [...listeners]) listener()
  }

  return {
    get: () => current,
    advance,
    listen: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    observeUpdates: (updates) => {
      for (const { version, rows } of updates) {
        advance(getRowEra(version))
        for (const row of rows) advance(getRowEra(row.version))
      }
    }
  }
}
