import type { Milliseconds } from '@snipenotch/contracts'
import type { DutyRow, DutyTable } from './dutyRows.js'

/** Clock readings and the store era at one moment. */
export interface DutyTime {
  /** Monotonic time. */
  readonly now: Milliseconds
  /** Wall-clock time, which goes on while the machine is suspended. */
  readonly wall: Milliseconds
  /** True time in milliseconds since the Unix epoch. */
  readonly trueTime: number
  /** Number of restores of the store, as known now. */
  readonly era: number
}

/** A conditional, atomic write to the duty's table. */
export interface DutyWrite {
  /** The write takes effect only if the lease row has this version. */
  readonly leaseVersion: number
  /** Rows that must not exist. */
  readonly absentKeys: readonly string[]
  readonly puts: readonly DutyRow[]
  readonly removals: readonly string[]
  /** Token of the acquisition, if the write is one. */
  readonly acquiredToken: number | undefined
}

/** What the node is to do for the duty; a result is handed back for each action. */
export type DutyAction =
  | { readonly kind: 'read' }
  | { readonly kind: 'write', readonly write: DutyWrite }
  | { readonly kind: 'send', readonly window: number, readonly text: string, readonly token: number, readonly limitMs: number }

/** Result of reading the duty's table. */
export type DutyReadResult = { readonly kind: 'read', readonly table: DutyTable } | { readonly kind: 'failed' }
/** Result of a write. `failed` means that it is not known whether the write has taken effect or will. */
export type DutyWriteResult =
  | { readonly kind: 'done', readonly version: number }
  | { readonly kind: 'conflict' | 'failed' }
/** Result of sending a report. */
export type DutySendResult = 'accepted' | 'outdated-token' | 'failed'
