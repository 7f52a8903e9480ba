import { readFileSync } from 'node:fs'
import { cliSettingsSchema, createSystemClock, parseTomlWithSchema } from '@snipenotch/contracts'
import { createConfigurationRepository, HttpObjectStore, HttpTableService } from '@snipenotch/store'
import { Err, Ok, type Result } from 'ts-results-es'
import type { CommandContext } from './CommandContext.js'
import type { CommandError } from './CommandError.js'
import { createNodeClient } from './mesh/createNodeClient.js'

/** Reads the settings file and creates the clients of the platform and the nodes. */
export function createCommandContext (file: string): Result<CommandContext, CommandError> {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    const found = error instanceof Error ? error.message : String(error)
    return Err({ kind: 'invalid', problems: [{ file, key: '', found, expected: 'a readable settings file' }] })
  }
  const parsed = parseTomlWithSchema(cliSettingsSchema, text, file)
  if (parsed.isErr()) return Err({ kind: 'invalid', problems: parsed.error })
  const settings = parsed.value
  const { table: tableAddress, objects, timeout_ms: timeout } = settings.platform
  const table = new HttpTableService(tableAddress, timeout)
  return Ok({
    settings,
    clock: createSystemClock(),
    table,
    repository: createConfigurationRepository(table, new HttpObjectStore(objects, timeout)),
    nodes: createNodeClient(settings, table),
    reportProgress: (line) => { process.stderr.write(`${line}\n`) }
  })
}
