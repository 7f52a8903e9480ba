import { leaseRowSchema, type Milliseconds } from '@snipenotch/contracts'
import { decideLease, isLeaseValid, type LeaseReading, type LeaseWrite } from '@snipenotch/decisions'
import { formatPlatformError } from '@snipenotch/store'
import type { NodeContext } from '../node/NodeContext.js'

/** A lease row of the table, as one holder sees it. */
export interface Lease {
  /** Acquires or renews the lease; returns its fencing number, undefined while it is not held or the table is down. */
  readonly ensureHeld: () => Promise<number | undefined>
  /** Stops relying on the lease until it has been acquired anew. */
  readonly reset: () => void
  /** Gives the lease up, so that another holder need not wait for it to expire. */
  readonly release: () => Promise<void>
}

/** Creates the lease `lease/<name>` for `holder`; nothing is read or written until it is asked for. */
export function createLease (context: NodeContext, name: string, holder: string): Lease {
  const { table, clock, log } = context
  const key = `lease/${name}`
  let seen: { readonly revision: number, readonly since: Milliseconds } | undefined
  let extendedAt: Milliseconds | undefined
  let fencing: number | undefined

  function reset (): void {
    if (fencing !== undefined) log('leaseLost', { lease: name, fencing })
    extendedAt = undefined
    fencing = undefined
  }

  async function readLease (): Promise<LeaseReading | undefined> {
    const found = await table.read(key)
    if (found.isErr()) return undefined
    if (found.value === undefined) return { revision: 0, row: undefined }
    const parsed = leaseRowSchema.safeParse(found.value.value)
    if (!parsed.success) {
      log('internalError', { error: `row ${key}: ${parsed.error.message}` })
      return undefined
    }
    return { revision: found.value.revision, row: parsed.data }
  }

  async function writeLease ({ revision, row }: LeaseWrite): Promise<boolean> {
    const begun = clock.now()
    const written = await table.transact({ conditions: [{ key, revision }], writes: [{ key, value: row }] })
    if (written.isErr()) {
      log('leaseNotWritten', { lease: name, detail: formatPlatformError(written.error) })
      return false
    }
    // The write's begin counts, as the table may have taken it at any time since.
    extendedAt = begun
    if (fencing !== row.fencing) log('leaseAcquired', { lease: name, fencing: row.fencing })
    fencing = row.fencing
    return true
  }

  async function ensureHeld (): Promise<number | undefined> {
    const reading = await readLease()
    const now = clock.now()
    if (reading === undefined) return undefined
    if (seen?.revision !== reading.revision) seen = { revision: reading.revision, since: now }
    const decision = decideLease({ holder, reading, revisionSeenAt: seen.since, extendedAt, now, wall: clock.wall() })
    switch (decision.kind) {
      case 'wait': reset(); return undefined
      case 'keep': return fencing
      case 'acquire':
      case 'renew': return await writeLease(decision.write) && isLeaseValid(extendedAt, clock.now()) ? fencing : undefined
    }
  }

  return {
    ensureHeld,
    reset,
    release: async () => {
      if (fencing === undefined) return
      const reading = await readLease()
      if (reading?.row?.fencing === fencing && reading.row.holder === holder) {
        const row = { ...reading.row, expiresAt: 0 }
        await table.transact({ conditions: [{ key, revision: reading.revision }], writes: [{ key, value: row }] })
      }
      reset()
    }
  }
}
