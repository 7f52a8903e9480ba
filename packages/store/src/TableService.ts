import type { Result } from 'ts-results-es'
import type { PlatformError } from './PlatformError.js'

/** A stored row. `revision` rises with each write of the row, from 1. */
export interface Row {
  readonly key: string
  readonly revision: number
  readonly value: unknown
}

/** Holds if the row has exactly this revision; 0 means that the row is absent. */
export interface Condition {
  readonly key: string
  readonly revision: number
}

/** Writes a JSON value, or deletes the row when `value` is null. */
export interface RowWrite {
  readonly key: string
  readonly value: unknown
}

/** All writes take effect at once if all conditions hold, and none otherwise. */
export interface Transaction {
  readonly conditions: readonly Condition[]
  readonly writes: readonly RowWrite[]
}

/** The platform's transactional table service. */
export abstract class TableService {
  /** Reads one row; undefined if it is absent. */
  abstract read (key: string): Promise<Result<Row | undefined, PlatformError>>
  /** Lists rows whose keys begin with `prefix`, in key order or, if `reverse`, from the last; at most `limit` rows. */
  abstract list (prefix: string, options?: ListOptions): Promise<Result<Row[], PlatformError>>
  /** Runs a transaction. After `unavailable` it is unknown whether the writes took effect. */
  abstract transact (transaction: Transaction): Promise<Result<void, PlatformError>>
}

export interface ListOptions {
  readonly limit?: number
  readonly reverse?: boolean
}
