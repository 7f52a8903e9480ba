import { leaseRowSchema, type Milliseconds } from '@snipenotch/contracts'
import { decideLease, isLeaseValid, type LeaseReading, type LeaseWrite } from '@snipenotch/decisions'
import { formatPlatformError } from '@snipenotch/store'
import type { NodeContext } from '../node/NodeContext.js'

/** A lease in a row of the table, from the perspective of one holder. */
export interface Lease {
  /**
   * Acquires or renews the lease; resolves with its fencing number, or undefined if it is not held or the table is
   * unavailable.
   */
  readonly ensureHeld: () => Promise<number | undefined>
  /** Treats the lease as lost until it is acquired again. */
  readonly reset: () => void
  /** Releases the lease, so that another holder can acquire it before it expires. */
  readonly release: () => Promise<void>
}

/** Creates the lease in row `lease/<name>` for `holder`; the table is not accessed until the first call. */
export function createLease (context: NodeContext, name: string, holder: string): Lease {
  const { table, clock, log } = context
  const key = `lease/${name}`
  let lastSeen: { readonly revision: number, readonly seenAt: Milliseconds } | undefined
  let lastExtendedAt: Milliseconds | undefined
  let fencing: number | undefined

  function reset (): void {
    if (fencing !== undefined) log('leaseLost', { lease: name, fencing })
    lastExtendedAt = undefined
    fencing = undefined
  }

  async function readLease (): Promise<LeaseReading | undefined> {
    const readResult = await table.read(key)
    if (readResult.isErr()) return undefined
    if (readResult.value === undefined) return { revision: 0, row: undefined }
    const parsed = leaseRowSchema.safeParse(readResult.value.value)
    if (!parsed.success) {
      log('internalError', { error: `row ${key}: ${parsed.error.message}` })
      return undefined
    }
    return { revision: readResult.value.revision, row: parsed.data }
  }

  async function writeLease ({ revision, row }: LeaseWrite): Promise<boolean> {
    const writeStartedAt = clock.now()
    const written = await table.transact({ conditions: [{ key, revision }], writes: [{ key, value: row }] })
    if (written.isErr()) {
      log('leaseNotWritten', { lease: name, detail: formatPlatformError(written.error) })
      return false
    }
    // The lease counts from the start of the write, because the table may have applied it at any time since.
    lastExtendedAt = writeStartedAt
    if (fencing !== row.fencing) log('leaseAcquired', { lease: name, fencing: row.fencing })
    fencing = row.fencing
    return true
  }

  async function ensureHeld (): Promise<number | undefined> {
    const reading = await readLease()
    const now = clock.now()
    if (reading === undefined) return undefined
    if (lastSeen?.revision !== reading.revision) lastSeen = { revision: reading.revision, seenAt: now }
    const decision = decideLease({
      holder, reading, revisionSeenAt: lastSeen.seenAt, extendedAt: lastExtendedAt, now, wall: clock.wall()
    })
    switch (decision.kind) {
      case 'wait': reset(); return undefined
      case 'keep': return fencing
      case 'acquire':
      case 'renew': return await writeLease(decision.write) && isLeaseValid(lastExtendedAt, clock.now()) ? fencing : undefined
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
