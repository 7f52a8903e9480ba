import { Ok, type Result } from 'ts-results-es'
import type { CommandContext, CommandOutput } from '../CommandContext.js'
import type { CommandError } from '../CommandError.js'
import { formatTable } from '../output/formatTable.js'

/** Reports which route, version and backend server a node would choose for a request, and why. */
export async function explainRequest (
  context: CommandContext, method: string, path: string
): Promise<Result<CommandOutput, CommandError>> {
  const explanation = await context.nodes.explain(method.toUpperCase(), path)
  if (explanation.isErr()) return explanation
  const found = explanation.value
  const lines = [
    `configuration ${found.configurationVersion}: route ${found.route ?? '-'}, service ${found.service ?? '-'}`,
    `version ${found.version ?? '-'}, host ${found.host ?? '-'}: ${found.reason}`
  ]
  if (found.candidates.length > 0) {
    lines.push('', formatTable(['host', 'data centre', 'runs', 'note'], found.candidates.map((candidate) => [
      candidate.host, candidate.dataCentre, candidate.version, candidate.note
    ])))
  }
  return Ok({ data: found, text: lines.join('\n') })
}
