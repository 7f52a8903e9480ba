import type { Intent } from './intentSchema.js'

/** An intent and the path of the file that it was read from; the path is used in error messages. */
export interface IntentFile {
  readonly file: string
  readonly intent: Intent
}
