#!/usr/bin/env node
import { runDemo } from '../demo/runDemo.js'

const EXIT_FAILED = 1

runDemo((line) => { process.stdout.write(line + '\n') }).then(
  (passed) => { process.exitCode = passed ? 0 : EXIT_FAILED },
  (error: unknown) => {
    process.stderr.write(`demo: ${error instanceof Error ? error.message : String(error)}\n`)
    process.exitCode = EXIT_FAILED
  }
)
