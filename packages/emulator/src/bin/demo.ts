#!/usr/bin/env node
import { runDemo } from '../demo/runDemo.js'

const EXIT_BROKEN = 1

runDemo((line) => { process.stdout.write(line + '\n') }).then(
  (held) => { process.exitCode = held ? 0 : EXIT_BROKEN },
  (error: unknown) => {
    process.stderr.write(`demo: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = EXIT_BROKEN
  }
)
