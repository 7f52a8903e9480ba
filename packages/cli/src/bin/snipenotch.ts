#!/usr/bin/env node
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { cliSettingsSchema, composeConfiguration, formatProblem, parseTomlWith, type CliSettings } from '@snipenotch/contracts'
import { createConfigurationRepository, formatPublishError, HttpObjectStore, HttpTableService } from '@snipenotch/platform'
import { cac } from 'cac'
import { readIntents } from '../readIntents.js'

const EXIT_INVALID = 1

function loadSettings (file: string): CliSettings {
  const settings = parseTomlWith(cliSettingsSchema, readFileSync(file, 'utf8'), file)
  if (settings.isOk()) return settings.value
  for (const problem of settings.error) process.stderr.write(formatProblem(problem) + '\n')
  process.exit(EXIT_INVALID)
}

const program = cac('snipenotch')

program.command('check <dir>', 'Validate intent files').action((dir: string) => {
  const intents = readIntents(dir)
  if (intents.isOk()) process.stdout.write(`${intents.value.length} intent files are valid\n`)
  else {
    for (const problem of intents.error) process.stderr.write(formatProblem(problem) + '\n')
    process.exitCode = EXIT_INVALID
  }
})

program.command('publish <dir>', 'Make the intent files below DIR the accepted configuration')
  .option('--settings <file>', 'Settings file', { default: 'snipenotch-cli.toml' })
  .action(async (dir: string, options: { settings: string }) => {
    const settings = loadSettings(options.settings)
    const intents = readIntents(dir)
    if (intents.isErr()) {
      for (const problem of intents.error) process.stderr.write(formatProblem(problem) + '\n')
      process.exitCode = EXIT_INVALID
      return
    }
    const { table, objects, timeout_ms: timeout } = settings.platform
    const repository = createConfigurationRepository(
      new HttpTableService(table, timeout), new HttpObjectStore(objects, timeout)
    )
    const operationId = `publish/${randomUUID()}`
    const summary = `publish of ${intents.value.length} services`
    const stamp = { operationId, author: settings.operator, acceptedAt: Date.now(), summary }
    const outcome = await repository.publish(operationId, (previous) =>
      composeConfiguration(previous, intents.value.map(({ intent }) => intent), stamp))
    if (outcome.isOk()) process.stdout.write(`accepted as version ${outcome.value.version}\n`)
    else {
      process.stderr.write(formatPublishError(outcome.error) + '\n')
      process.exitCode = EXIT_INVALID
    }
  })

program.help()
program.parse()
