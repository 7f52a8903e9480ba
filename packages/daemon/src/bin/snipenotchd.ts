#!/usr/bin/env node
import { readFileSync } from 'node:fs'
import { daemonSettingsSchema, formatProblem, parseTomlWithSchema } from '@snipenotch/contracts'
import { createDaemon } from '../createDaemon.js'

/** Exit code for invalid arguments or settings. */
const EXIT_USAGE = 2
/** Exit code for a failed start or stop. */
const EXIT_START_FAILED = 1

function loadText (file: string): string | undefined {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    process.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`)
    return undefined
  }
}

async function run (): Promise<void> {
  const file = process.argv[2]
  if (file === undefined || process.argv.length > 3) {
    process.stderr.write('usage: snipenotchd SETTINGS.toml\n')
    process.exit(EXIT_USAGE)
  }
  const text = loadText(file)
  if (text === undefined) process.exit(EXIT_USAGE)
  const settings = parseTomlWithSchema(daemonSettingsSchema, text, file)
  if (settings.isErr()) {
    for (const problem of settings.error) process.stderr.write(formatProblem(problem) + '\n')
    process.exit(EXIT_USAGE)
  }
  const daemon = createDaemon(settings.value)
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    daemon.stop().then(() => process.exit(0), () => process.exit(EXIT_START_FAILED))
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  await daemon.start()
}

run().catch((error: unknown) => {
  process.stderr.write(`snipenotchd: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exit(EXIT_START_FAILED)
})
