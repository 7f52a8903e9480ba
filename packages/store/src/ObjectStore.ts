import type { Result } from 'ts-results-es'
import type { PlatformError } from './PlatformError.js'

/** The platform's object store. Objects are immutable texts. */
export abstract class ObjectStore {
  /** Reads an object. Returns undefined if it does not exist. */
  abstract read (key: string): Promise<Result<string | undefined, PlatformError>>
  /** Stores an object. Storing the same object again is safe. */
  abstract write (key: string, body: string): Promise<Result<void, PlatformError>>
}
