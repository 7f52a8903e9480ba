#!/usr/bin/env node
import { createProgram } from '../createProgram.js'
import { EXIT_CODES } from '../EXIT_CODES.js'

const program = createProgram()
try {
  program.parse(process.argv, { run: false })
  if (program.matchedCommand === undefined && program.options['help'] !== true) {
    const [name] = program.args
    const found = name === undefined ? 'found no command' : `found unknown command "${name}"`
    process.stderr.write(`snipenotch: ${found}, expected a command listed by snipenotch --help\n`)
    process.exitCode = EXIT_CODES.usage
  } else await program.runMatchedCommand()
} catch (error) {
  process.stderr.write(`snipenotch: ${error instanceof Error ? error.message : String(error)}\n`)
  process.exitCode = EXIT_CODES.usage
}
