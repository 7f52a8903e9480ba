import type { Result } from 'ts-results-es'
import type { PlatformError } from './PlatformError.js'

/** The platform's object store. Objects are immutable text. */
export abstract class ObjectStore {
  /** Reads an object; undefined if it is absent. */
  abstract read (key: string): Promise<Result<string | undefined, PlatformError>>
  /** Stores an object; storing the same key again is harmless. */
  abstract write (key: string, body: string): Promise<Result<void, PlatformError>>
}
