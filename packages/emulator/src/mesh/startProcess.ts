import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** A process that the emulator started. */
export interface StartedProcess {
  readonly child: ChildProcess
  /** Returns the latest output, at most 1,000,000 characters of standard output and standard error together. */
  readonly readOutput: () => string
  /** Resolves with the exit code, or with -1 if a signal ended the process. */
  readonly exited: Promise<number>
}

/** Maximum length of the output kept for each process, in characters; older output is discarded. */
const MAX_OUTPUT_LENGTH = 1_000_000

/** Options of {@link startProcess}. */
export interface ProcessOptions {
  /** Called with each line of standard output. */
  readonly onLine?: (line: string) => void
  /** Command line options of Node.js. */
  readonly nodeOptions?: readonly string[]
  /** Environment variables of the new process, added to those of this process. */
  readonly env?: Readonly<Record<string, string>>
}

/** Starts a Node.js script with the interpreter of this process. */
export function startProcess (
  script: string, args: readonly string[], { onLine, nodeOptions = [], env = {} }: ProcessOptions = {}
): StartedProcess {
  const child = spawn(process.execPath, [...nodeOptions, script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...env }
  })
  let output = ''
  const collectOutput = (chunk: Buffer): void => { output = (output + chunk.toString('utf8')).slice(-MAX_OUTPUT_LENGTH) }
  child.stdout.on('data', collectOutput)
  child.stderr.on('data', collectOutput)
  if (onLine !== undefined) createInterface({ input: child.stdout }).on('line', onLine)
  const exited = new Promise<number>((resolve) => child.on('close', (code) => resolve(code ?? -1)))
  return { child, readOutput: () => output, exited }
}
