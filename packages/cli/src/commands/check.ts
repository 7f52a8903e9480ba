import { Ok, type Result } from 'ts-results-es'
import type { CommandError } from '../CommandError.js'
import type { CommandOutput } from '../CommandContext.js'
import { readIntents } from '../readIntents.js'

/** Validates the intent files below `directory` without any network access. */
export function checkDirectory (directory: string): Result<CommandOutput, CommandError> {
  return readIntents(directory)
    .mapErr((problems): CommandError => ({ kind: 'invalid', problems }))
    .andThen((files) => Ok({
      data: { valid: true, services: files.map(({ intent }) => intent.service) },
      text: `${files.length} intent files are valid`
    }))
}
