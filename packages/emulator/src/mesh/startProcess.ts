import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** A process that the emulator started, with what it has printed so far. */
export interface StartedProcess {
  readonly child: ChildProcess
  readonly readOutput: () => string
  /** Resolves with the exit code, or -1 if a signal ended the process. */
  readonly exited: Promise<number>
}

/** Most output kept for each process, in characters. */
const MAX_OUTPUT_LENGTH = 1_000_000

export interface ProcessOptions {
  /** Gets each line of standard output. */
  readonly onLine?: (line: string) => void
  /** Options of Node.js itself. */
  readonly nodeOptions?: readonly string[]
  /** Added to the environment of this process. */
  readonly env?: Readonly<Record<string, string>>
}

/** Starts a Node.js script with this process's own interpreter. */
export function startProcess (
  script: string, args: readonly string[], { onLine, nodeOptions = [], env = {} }: ProcessOptions = {}
): StartedProcess {
  const child = spawn(process.execPath, [...nodeOptions, script, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...env }
  })
  let output = ''
  const collect = (chunk: Buffer): void => { output = (output + chunk.toString('utf8')).slice(-MAX_OUTPUT_LENGTH) }
  child.stdout.on('data', collect)
  child.stderr.on('data', collect)
  if (onLine !== undefined) createInterface({ input: child.stdout }).on('line', onLine)
  const exited = new Promise<number>((resolve) => child.on('close', (code) => resolve(code ?? -1)))
  return { child, readOutput: () => output, exited }
}
