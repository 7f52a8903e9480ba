import type { LeaseRow, Milliseconds } from '@snipenotch/contracts'

/** Time for which a lease is valid after its last renewal, in milliseconds. */
export const LEASE_DURATION_MS = 10_000

/** Interval between renewals, in milliseconds: two may be lost before the lease expires. */
export const LEASE_RENEWAL_MS = 3000

/** The lease row as last read. */
export interface LeaseReading {
  /** Revision of the row; 0 if it is absent. */
  readonly revision: number
  readonly row: LeaseRow | undefined
}

/** What a node knows about the lease. `wall` is wall-clock time, all other times are from its own monotonic clock. */
export interface LeaseInput {
  readonly holder: string
  readonly reading: LeaseReading
  /** When this node first read the row at its current revision. */
  readonly revisionSeenAt: Milliseconds
  /** When this node began the write that last extended its own lease. */
  readonly extendedAt: Milliseconds | undefined
  readonly now: Milliseconds
  readonly wall: Milliseconds
}

/** A conditional write of the lease row, which takes effect only if the row is still at `revision`. */
export interface LeaseWrite {
  readonly revision: number
  readonly row: LeaseRow
}

/** Next action for the lease; `fencing` is the fencing token of the acquisition. */
export type LeaseDecision =
  | { readonly kind: 'acquire' | 'renew', readonly write: LeaseWrite }
  /** The lease is held by this node and needs no renewal yet. */
  | { readonly kind: 'keep', readonly fencing: number }
  /** The lease is held by another node. */
  | { readonly kind: 'wait' }

/**
 * Decides whether to acquire, renew or keep the lease. A row is expired once its revision has not changed for the
 * lease's duration by this node's own monotonic clock, so that clock skew between hosts neither delays nor causes a
 * takeover; a holder that stops sets `expiresAt` to 0. The fencing token is incremented with each acquisition, also by
 * the same host.
 */
export function decideLease (input: LeaseInput): LeaseDecision {
  const { holder, reading: { revision, row }, revisionSeenAt, extendedAt, now, wall } = input
  const expiresAt = wall + LEASE_DURATION_MS
  const acquire: LeaseDecision = {
    kind: 'acquire', write: { revision, row: { holder, fencing: (row?.fencing ?? 0) + 1, expiresAt } }
  }
  if (row === undefined) return acquire
  if (row.holder === holder) {
    if (!isLeaseValid(extendedAt, now)) return acquire
    const isRenewalDue = extendedAt === undefined || now - extendedAt >= LEASE_RENEWAL_MS
    return isRenewalDue
      ? { kind: 'renew', write: { revision, row: { holder, fencing: row.fencing, expiresAt } } }
      : { kind: 'keep', fencing: row.fencing }
  }
  return row.expiresAt === 0 || now - revisionSeenAt >= LEASE_DURATION_MS ? acquire : { kind: 'wait' }
}

/** True while a lease that was last extended at `extendedAt` is valid without reading the table again. */
export function isLeaseValid (extendedAt: Milliseconds | undefined, now: Milliseconds): boolean {
  return extendedAt !== undefined && now - extendedAt < LEASE_DURATION_MS
}
