import type { LeaseRow, Milliseconds } from '@snipenotch/contracts'

/** Time for which a lease is valid after its last renewal, in milliseconds. */
export const LEASE_DURATION_MS = 10_000

/** Time between renewals: two may be lost before the lease expires. */
export const LEASE_RENEWAL_MS = 3000

/** The lease row as last read. */
export interface LeaseReading {
  /** Revision of the row; 0 if it is absent. */
  readonly revision: number
  readonly row: LeaseRow | undefined
}

/** What a node knows of the lease. `now` and `seenSince` are on its own monotonic clock, `wall` is wall-clock time. */
export interface LeaseInput {
  readonly holder: string
  readonly reading: LeaseReading
  /** When this node first saw the row at its present revision. */
  readonly seenSince: Milliseconds
  /** When this node began the write that last extended its own hold. */
  readonly extendedAt: Milliseconds | undefined
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/** A conditional write of the lease row: it takes effect only at `revision`. */
export interface LeaseWrite {
  readonly revision: number
  readonly row: LeaseRow
}

export type LeaseDecision =
  | { readonly kind: 'acquire' | 'renew', readonly write: LeaseWrite }
  /** The lease is held by this node and needs no renewal yet. */
  | { readonly kind: 'keep', readonly fencing: number }
  /** The lease is held by another node. */
  | { readonly kind: 'wait' }

/**
 * Decides on the lease row. A row counts as expired once its revision has not changed for the lease's duration by this
 * node's own monotonic clock, so clocks that differ between hosts delay no takeover and cause none; a holder that stops
 * sets `expiresAt` to 0. Fencing rises with each acquisition, also by the same host.
 */
export function decideLease (input: LeaseInput): LeaseDecision {
  const { holder, reading: { revision, row }, seenSince, extendedAt, now, wall } = input
  const expiresAt = wall + LEASE_DURATION_MS
  const acquire: LeaseDecision = {
    kind: 'acquire', write: { revision, row: { holder, fencing: (row?.fencing ?? 0) + 1, expiresAt } }
  }
  if (row === undefined) return acquire
  if (row.holder === holder) {
    if (!isLeaseValid(extendedAt, now)) return acquire
    const isDue = extendedAt === undefined || now - extendedAt >= LEASE_RENEWAL_MS
    return isDue
      ? { kind: 'renew', write: { revision, row: { holder, fencing: row.fencing, expiresAt } } }
      : { kind: 'keep', fencing: row.fencing }
  }
  return row.expiresAt === 0 || now - seenSince >= LEASE_DURATION_MS ? acquire : { kind: 'wait' }
}

/** True while a hold that was last extended at `extendedAt` may be relied on without asking the table. */
export function isLeaseValid (extendedAt: Milliseconds | undefined, now: Milliseconds): boolean {
  return extendedAt !== undefined && now - extendedAt < LEASE_DURATION_MS
}
