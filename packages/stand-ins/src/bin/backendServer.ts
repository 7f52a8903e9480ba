#!/usr/bin/env node
import { writeSync } from 'node:fs'
import type { Server } from 'node:http'
import { parseSocketAddress } from '@snipenotch/contracts'
import { cac } from 'cac'
import type { RunEvent } from '../backend/runEventSchema.js'
import type { BackendServerSettingsInput } from '../backend/backendServerSettingsSchema.js'
import { createBackendControlServer } from '../backend/createBackendControlServer.js'
import { createBackendServerStandIn } from '../createBackendServerStandIn.js'
import { createRandom } from '../random/createRandom.js'

const STANDARD_OUTPUT = 1
const EXIT_USAGE = 2
const EXIT_CRASH = 70
const DRAIN_POLL_INTERVAL_MS = 20

interface Options {
  readonly name?: string
  readonly version: string
  readonly listen: string
  readonly steer?: string
  readonly seed: number
  readonly settings: string
}

/** Writes a line synchronously, so that it is written before the process can crash. */
function writeLine (line: string): void {
  let rest = Buffer.from(line + '\n')
  while (rest.length > 0) {
    try {
      rest = rest.subarray(writeSync(STANDARD_OUTPUT, rest))
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error
    }
  }
}

async function listenOn (server: Server, address: string): Promise<string> {
  const { host, port } = parseSocketAddress(address)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  const bound = server.address()
  return `${host}:${typeof bound === 'object' && bound !== null ? bound.port : port}`
}

async function run (options: Options): Promise<void> {
  const name = options.name ?? 'backend'
  const standIn = createBackendServerStandIn(name, {
    version: options.version,
    random: createRandom(options.seed),
    settings: JSON.parse(options.settings) as BackendServerSettingsInput,
    onEvent: (event: RunEvent) => writeLine(JSON.stringify(event)),
    exit: () => process.exit(EXIT_CRASH)
  })
  const controlServer = createBackendControlServer(standIn)
  const address = await listenOn(standIn.server, options.listen)
  const steer = await listenOn(controlServer, options.steer ?? '127.0.0.1:0')
  process.on('SIGTERM', () => {
    standIn.drain()
    const check = (): void => {
      const { running, waiting } = standIn.readState()
      if (running + waiting === 0) process.exit(0)
    }
    setInterval(check, DRAIN_POLL_INTERVAL_MS)
  })
  writeLine(JSON.stringify({ event: 'listening', name, address, steer }))
}

const program = cac('backendServer')
program.command('', 'Run a backend server stand-in')
  .option('--name <name>', 'Name to include in responses', { default: 'backend' })
  .option('--version-name <version>', 'Version to include in responses', { default: 'v1' })
  .option('--listen <address>', 'IP address and port to accept requests on', { default: '127.0.0.1:0' })
  .option('--steer <address>', 'IP address and port of the control server', { default: '127.0.0.1:0' })
  .option('--seed <number>', 'Seed of the random service times and faults', { default: 1 })
  .option('--settings <json>', 'Behaviour as a JSON object', { default: '{}' })
  .action((options: Omit<Options, 'version'> & { versionName: string }) => {
    run({ ...options, version: options.versionName }).catch((error: unknown) => {
      process.stderr.write(`backendServer: ${error instanceof Error ? error.message : String(error)}\n`)
      process.exit(EXIT_USAGE)
    })
  })
program.help()
program.parse()
