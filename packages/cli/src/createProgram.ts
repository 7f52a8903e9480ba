import { cac, type CAC } from 'cac'
import { Err, type Result } from 'ts-results-es'
import { type CommandError, formatCommandError, toExitCode } from './CommandError.js'
import type { CommandContext, CommandOutput } from './CommandContext.js'
import { checkDirectory } from './commands/check.js'
import { explainRequest } from './commands/explain.js'
import { readHistory } from './commands/history.js'
import { submitOrder } from './commands/order.js'
import { publishDirectory } from './commands/publish.js'
import { startRollout, takeRolloutBack, watchRollout } from './commands/rollout.js'
import { readMeshStatus } from './commands/status.js'
import { createCommandContext } from './createCommandContext.js'
import { EXIT_CODES } from './EXIT_CODES.js'

interface CommonOptions {
  readonly settings: string
  readonly json?: boolean
  readonly wait?: number | string
}

/** Time that `--wait` without a number allows, in milliseconds. */
const DEFAULT_WAIT_MS = 10_000

function toWaitMs (wait: number | string | boolean | undefined): number {
  if (wait === undefined || wait === false) return 0
  if (typeof wait === 'boolean' || wait === '') return DEFAULT_WAIT_MS
  const value = Number(wait)
  if (!(value >= 0)) throw new Error(`--wait: found "${wait}", expected a number of seconds`)
  return value * 1000
}

function toLimit (limit: number | string): number {
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
  /** Values that look like numbers arrive as numbers. */
  readonly to?: string | number
  readonly by?: string | number
  readonly reason?: string
  readonly timeout: number | string
}

async function runRollout (
  context: CommandContext, action: string, service: string, options: RolloutOptions
): Promise<Result<CommandOutput, CommandError>> {
  const { to, by, reason = 'no reason given', timeout } = options
  switch (action) {
    case 'start':
      if (to === undefined || by === undefined) return Err({ kind: 'usage', detail: 'rollout start: expected --to and --by' })
      return await startRollout(context, service, { to: String(to), by: String(by) })
    case 'watch': return await watchRollout(context, service, Number(timeout) * 1000)
    case 'take-back': return await takeRolloutBack(context, service, reason)
    default: return Err({ kind: 'usage', detail: `rollout: found "${action}", expected start, watch or take-back` })
  }
}

type Run = (context: CommandContext) => Promise<Result<CommandOutput, CommandError>>

async function runWithContext (options: CommonOptions, run: Run): Promise<void> {
  const context = createCommandContext(options.settings)
  printResult(context.isErr() ? context : await run(context.value), options.json === true)
}

/** Defines the commands of `snipenotch`. */
export function createProgram (): CAC {
  const program = cac('snipenotch')
  program.option('--settings <file>', 'Settings file', { default: 'snipenotch-cli.toml' })
  program.option('--json', 'Print the result as JSON')

  program.command('check <dir>', 'Validate intent files, offline')
    .action((dir: string, options: CommonOptions) => printResult(checkDirectory(dir), options.json === true))

  program.command('publish <dir>', 'Make the intent files below DIR the accepted configuration')
    .option('--wait [seconds]', 'Wait until the version is in force on every known host')
    .option('--operation <id>', 'Operation id of an earlier attempt whose outcome is unknown')
    .option('--force', 'Allow traffic to move at once, without a rollout')
    .action((dir: string, options: PublishCommandOptions) => runWithContext(options, (context) =>
      publishDirectory(context, dir, {
        waitMs: toWaitMs(options.wait),
        force: options.force === true,
        ...(options.operation === undefined ? {} : { operation: options.operation })
      })))

  program.command('status', 'Show versions in force, lagging hosts, orders and rollouts')
    .action((options: CommonOptions) => runWithContext(options, readMeshStatus))

  program.command('history', 'List accepted versions, newest first')
    .option('--limit <n>', 'Number of versions', { default: 20 })
    .action((options: CommonOptions & { limit: number | string }) => {
      const limit = toLimit(options.limit)
      return runWithContext(options, (context) => readHistory(context, limit))
    })

  program.command('explain <method> <path>', 'Show which route, version and backend server a request would meet')
    .action((method: string, path: string, options: CommonOptions) =>
      runWithContext(options, (context) => explainRequest(context, method, path)))

  for (const action of ['drain', 'restore'] as const) {
    const text = action === 'drain' ? 'Take a data centre or a host out' : 'Bring a data centre or a host back'
    program.command(`${action} <subject>`, `${text}; SUBJECT is data-centre/NAME or host/NAME`)
      .option('--wait [seconds]', 'Wait until every contact knows the order')
      .action((subject: string, options: CommonOptions) => {
        const waitMs = toWaitMs(options.wait)
        return runWithContext(options, (context) => submitOrder(context, action, subject, { waitMs }))
      })
  }

  const rolloutText = 'Start, watch or take back a rollout; ACTION is start, watch or take-back'
  program.command('rollout <action> <service>', rolloutText)
    .option('--to <version>', 'Version that is to take the traffic (start)')
    .option('--by <time>', 'Stated time, such as 2026-12-04T18:00:00Z (start)')
    .option('--reason <text>', 'Why, for the history (take-back)')
    .option('--timeout <seconds>', 'Longest time to watch; 0 for no limit', { default: 0 })
    .action((action: string, service: string, options: RolloutOptions) =>
      runWithContext(options, (context) => runRollout(context, action, service, options)))

  program.help()
  return program
}
