import { createSystemClock, type NodeSettings } from '@snipenotch/contracts'
import { createCounters, createEventLog } from '@snipenotch/daemon'
import { createBufferBudget } from '@snipenotch/decisions'
import { decodeSettings, SETTINGS_VARIABLE } from '@snipenotch/platform'
import { readFileSync } from 'node:fs'
import { pino } from 'pino'
import { createNode } from '../createNode.js'
import { type BufferHolder, computeBufferLimit } from '../operations/BufferHolder.js'
import { createTicker } from '../operations/createTicker.js'
import { createRateLimitedLog, MAX_LINES_PER_SECOND } from '../operations/createRateLimitedLog.js'

/**
 * Log lines are buffered up to this size before they are written, in bytes, so that logging does not block on its
 * reader.
 */
const LOG_BUFFER_BYTES = 4096
/** Interval at which buffered log lines are written, in milliseconds. */
const LOG_FLUSH_MS = 250
/**
 * Maximum number of lines per event and second while the node stops. Each request that is open then must be traceable,
 * and the time is limited.
 */
const MAX_STOPPING_LINES_PER_SECOND = 400

const file = process.env[SETTINGS_VARIABLE] ?? '/etc/snipenotch/settings.toml'
const destination = pino.destination({ dest: 1, sync: false, minLength: LOG_BUFFER_BYTES })
const clock = createSystemClock()
const counters = createCounters()

function readSettingsFile (): NodeSettings {
  const settings = decodeSettings(readFileSync(file, 'utf8'), file)
  if (settings.isOk()) return settings.value
  const log = createEventLog({ host: '', data_centre: '', log: { level: 'info' } }, destination)
  log('settingsInvalid', { problems: settings.error })
  destination.flushSync()
  process.exit(1)
}

const settings = readSettingsFile()
const events = createEventLog({ host: settings.host, data_centre: settings.dataCentre, log: { level: 'info' } }, destination)
let isStopping = false
const log = createRateLimitedLog(events, counters, clock, () =>
  isStopping ? MAX_STOPPING_LINES_PER_SECOND : MAX_LINES_PER_SECOND)
const ticker = createTicker(clock, (delay) => { counters.record('loop', delay) }, (error) => {
  counters.count('internal_errors', 'contained')
  log('internalError', { error: error instanceof Error ? error.stack : String(error) })
})
const buffers = createBufferBudget<BufferHolder>(computeBufferLimit(settings.memoryMb))
const node = createNode({ settings, clock, counters, log, ticker, buffers, random: Math.random })
ticker.add(LOG_FLUSH_MS, () => { destination.flush() })

function stop (): void {
  if (isStopping) return
  isStopping = true
  node.stop()
    .catch((error: unknown) => { log('internalError', { error: String(error) }) })
    .finally(() => {
      destination.flushSync()
      process.exit(0)
    })
}

// The handlers stay registered: without one, a repeated signal would terminate the process at once.
process.on('SIGTERM', stop)
process.on('SIGINT', stop)
process.on('SIGHUP', () => {
  const found = decodeSettings(readFileSync(file, 'utf8'), file)
  log('settingsReloaded', found.isErr() ? { problems: found.error } : { isChanged: JSON.stringify(found.value) !== JSON.stringify(settings) })
})
// The process goes on: an exit would lose all open requests on the host. docs/design.md gives the reasons.
process.on('uncaughtException', (error) => {
  counters.count('internal_errors', 'uncaught')
  log('uncaughtError', { error: error.stack ?? String(error) })
})

await node.start()
