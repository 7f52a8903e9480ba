import type { Result } from 'ts-results-es'
import type { PlatformError } from './PlatformError.js'

/** A stored row. `revision` starts at 1 and increases with each write of the row. */
export interface Row {
  readonly key: string
  readonly revision: number
  readonly value: unknown
}

/** Holds if the row has exactly this revision; 0 requires that the row does not exist. */
export interface Condition {
  readonly key: string
  readonly revision: number
}

/** Writes a JSON value, or deletes the row if `value` is null. */
export interface RowWrite {
  readonly key: string
  readonly value: unknown
}

/** A conditional write: all writes take effect atomically if all conditions hold, and none otherwise. */
export interface Transaction {
  readonly conditions: readonly Condition[]
  readonly writes: readonly RowWrite[]
}

/** The platform's transactional table service. */
export abstract class TableService {
  /** Reads a row. Returns undefined if it does not exist. */
  abstract read (key: string): Promise<Result<Row | undefined, PlatformError>>
  /** Lists at most `limit` rows whose keys begin with `prefix`, in ascending key order or, if `reverse`, descending. */
  abstract list (prefix: string, options?: ListOptions): Promise<Result<Row[], PlatformError>>
  /** Runs a transaction. After an `unavailable` error it is unknown whether the writes took effect. */
  abstract transact (transaction: Transaction): Promise<Result<void, PlatformError>>
}

/** Options for listing rows. */
export interface ListOptions {
  readonly limit?: number
  readonly reverse?: boolean
}
