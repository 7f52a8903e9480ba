import { cac, type CAC } from 'cac'
import { Err, type Result } from 'ts-results-es'
import { type CommandError, formatCommandError, toExitCode } from './CommandError.js'
import type { CommandContext, CommandOutput } from './CommandContext.js'
import { checkDirectory } from './commands/check.js'
import { explainRequest } from './commands/explain.js'
import { readHistory } from './commands/history.js'
import { submitOrder } from './commands/order.js'
import { publishDirectory } from './commands/publish.js'
import { startRollout, publishRollback, watchRollout } from './commands/rollout.js'
import { readMeshStatus } from './commands/status.js'
import { createCommandContext } from './createCommandContext.js'
import { EXIT_CODES } from './EXIT_CODES.js'

interface CommonOptions {
  readonly settings: string
  readonly json?: boolean
  readonly wait?: number | string
}

/** Timeout of `--wait` without a number, in milliseconds. */
const DEFAULT_WAIT_MS = 10_000

function parseWaitMs (wait: number | string | boolean | undefined): number {
  if (wait === undefined || wait === false) return 0
  if (typeof wait === 'boolean' || wait === '') return DEFAULT_WAIT_MS
  const value = Number(wait)
  if (!(value >= 0)) throw new Error(`--wait: found "${wait}", expected a number of seconds`)
  return value * 1000
}

function parseLimit (limit: number | string): number {
  const value = Number(limit)
  if (!Number.isInteger(value) || value < 1) throw new Error(`--limit: found "${limit}", expected a whole number above 0`)
  return value
}

function printResult (result: Result<CommandOutput, CommandError>, json: boolean): void {
  if (result.isOk()) {
    process.stdout.write((json ? JSON.stringify(result.value.data) : result.value.text) + '\n')
    process.exitCode = result.value.exitCode ?? EXIT_CODES.ok
    return
  }
  const text = formatCommandError(result.error)
  if (json) process.stdout.write(JSON.stringify({ error: result.error.kind, detail: text }) + '\n')
  else process.stderr.write(text + '\n')
  process.exitCode = toExitCode(result.error)
}

interface PublishCommandOptions extends CommonOptions {
  readonly operation?: string
  readonly force?: boolean
}

interface RolloutOptions extends CommonOptions {
  /** cac passes values that look like numbers as numbers. */
  readonly to?: string | number
  readonly by?: string | number
  readonly reason?: string
  readonly timeout: number | string
}

async function runRolloutAction (
  context: CommandContext, action: string, service: string, options: RolloutOptions
): Promise<Result<CommandOutput, CommandError>> {
  const { to, by, reason = 'no reason given', timeout } = options
  switch (action) {
    case 'start':
      if (to === undefined || by === undefined) return Err({ kind: 'usage', detail: 'rollout start: expected --to and --by' })
      return await startRollout(context, service, { to: String(to), by: String(by) })
    case 'watch': return await watchRollout(context, service, Number(timeout) * 1000)
    case 'take-back': return await publishRollback(context, service, reason)
    default: return Err({ kind: 'usage', detail: `rollout: found "${action}", expected start, watch or take-back` })
  }
}

type CommandHandler = (context: CommandContext) => Promise<Result<CommandOutput, CommandError>>

async function runWithContext (options: CommonOptions, handler: CommandHandler): Promise<void> {
  const context = createCommandContext(options.settings)
  printResult(context.isErr() ? context : await handler(context.value), options.json === true)
}

/** Creates the command-line program with all commands of `snipenotch`. */
export function createProgram (): CAC {
  const program = cac('snipenotch')
  program.option('--settings <file>', 'Settings file', { default: 'snipenotch-cli.toml' })
  program.option('--json', 'Print the result as JSON')

  program.command('check <dir>', 'Validate intent files, offline')
    .action((dir: string, options: CommonOptions) => printResult(checkDirectory(dir), options.json === true))

  program.command('publish <dir>', 'Publish the intent files below DIR as the accepted configuration')
    .option('--wait [seconds]', 'Wait until every known host has applied the version')
    .option('--operation <id>', 'Operation id of an earlier attempt whose outcome is unknown')
    .option('--force', 'Allow an immediate traffic shift without a rollout')
    .action((dir: string, options: PublishCommandOptions) => runWithContext(options, (context) =>
      publishDirectory(context, dir, {
        waitMs: parseWaitMs(options.wait),
        force: options.force === true,
        ...(options.operation === undefined ? {} : { operation: options.operation })
      })))

  program.command('status', 'Show applied versions, lagging hosts, orders and rollouts')
    .action((options: CommonOptions) => runWithContext(options, readMeshStatus))

  program.command('history', 'List accepted versions, newest first')
    .option('--limit <n>', 'Number of versions', { default: 20 })
    .action((options: CommonOptions & { limit: number | string }) => {
      const limit = parseLimit(options.limit)
      return runWithContext(options, (context) => readHistory(context, limit))
    })

  program.command('explain <method> <path>', 'Show which route, version and backend server would receive a request')
    .action((method: string, path: string, options: CommonOptions) =>
      runWithContext(options, (context) => explainRequest(context, method, path)))

  for (const action of ['drain', 'restore'] as const) {
    const text = action === 'drain' ? 'Stop requests to a data centre or host' : 'Resume requests to a data centre or host'
    program.command(`${action} <subject>`, `${text}; SUBJECT is data-centre/NAME or host/NAME`)
      .option('--wait [seconds]', 'Wait until every contact has received the order')
      .action((subject: string, options: CommonOptions) => {
        const waitMs = parseWaitMs(options.wait)
        return runWithContext(options, (context) => submitOrder(context, action, subject, { waitMs }))
      })
  }

  const rolloutText = 'Start, watch or roll back a rollout; ACTION is start, watch or take-back'
  program.command('rollout <action> <service>', rolloutText)
    .option('--to <version>', 'Version to shift traffic to (start)')
    .option('--by <time>', 'Deadline, such as 2026-12-04T18:00:00Z (start)')
    .option('--reason <text>', 'Reason recorded in the history (take-back)')
    .option('--timeout <seconds>', 'Maximum time to watch; 0 for no limit', { default: 0 })
    .action((action: string, service: string, options: RolloutOptions) =>
      runWithContext(options, (context) => runRolloutAction(context, action, service, options)))

  program.help()
  return program
}
