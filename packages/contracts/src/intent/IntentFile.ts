import type { Intent } from './intentSchema.js'

/** An intent with the path of the file it was read from, for error messages. */
export interface IntentFile {
  readonly file: string
  readonly intent: Intent
}
