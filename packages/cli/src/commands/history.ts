import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'
import { formatTable } from '../output/formatTable.js'

/** Lists up to `limit` accepted versions, newest first. */
export async function readHistory (
  context: CommandContext, limit: number
): Promise<Result<CommandOutput, CommandError>> {
  const rows = await context.repository.listHistory(limit)
  if (rows.isErr()) return Err({ kind: 'publish', error: rows.error })
  return Ok({
    data: rows.value,
    text: formatTable(['version', 'accepted', 'author', 'summary'], rows.value.map((row) => [
      String(row.version), new Date(row.acceptedAt).toISOString(), row.author, row.summary
    ]))
  })
}
