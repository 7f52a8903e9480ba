import { createSystemClock, type NodeSettings } from '@snipenotch/contracts'
import { createCounters, type EventLog } from '@snipenotch/daemon'
import { createBufferBudget } from '@snipenotch/decisions'
import { type BufferHolder, computeBufferLimit } from '../src/operations/BufferHolder.js'
import { createTicker } from '../src/operations/createTicker.js'
import type { NodeContext } from '../src/NodeContext.js'

const address = (port: number): NodeSettings['backend'] => ({ host: '127.0.0.1', port })

/** Creates settings of a test node. Port 1 stands for addresses that the test does not use. */
export function createTestSettings (given: Partial<NodeSettings> = {}): NodeSettings {
  return {
    host: 'krakow-1',
    dataCentre: 'krakow',
    service: 'clocks',
    backend: address(1),
    callers: address(1),
    requests: address(1),
    readiness: address(1),
    reports: address(1),
    peers: address(1),
    metrics: address(1),
    seeds: [],
    store: address(1),
    reportIntervalMs: 1500,
    applyMs: 2000,
    failClosed: false,
    drainMs: 2000,
    gracePeriodMs: 6000,
    coldOvershoot: 1.5,
    retryRatio: 0.2,
    retrySlack: 60,
    retryWindowMs: 10_000,
    linkMbps: 1000,
    memoryMb: 350,
    overloadControl: true,
    connectionLimits: {
      connectionRequests: 64,
      connectionBytes: 1_048_576,
      nodeRequests: 2500,
      nodeBytes: 45_000_000,
      stallMs: 30_000,
      connections: 3900,
      backendBytes: 90_000_000
    },
    ...given
  }
}

/** Node context that records its log events. */
export interface TestContext extends NodeContext {
  /** Events logged so far. */
  readonly events: Array<{ readonly name: string, readonly fields: Readonly<Record<string, unknown>> }>
}

/** Creates a context with the system clock and the given settings. */
export function createTestContext (given: Partial<NodeSettings> = {}): TestContext {
  const events: TestContext['events'] = []
  const log: EventLog = (name, fields = {}) => { events.push({ name, fields }) }
  const clock = createSystemClock()
  const settings = createTestSettings(given)
  return {
    settings,
    clock,
    counters: createCounters(),
    ticker: createTicker(clock, () => undefined, (error) => { log('internalError', { error: String(error) }) }),
    buffers: createBufferBudget<BufferHolder>(computeBufferLimit(settings.memoryMb)),
    random: () => 0.5,
    log,
    events
  }
}
