import { measureIdempotencyStore, type IdempotencyStoreMemory } from './measureIdempotencyStore.js'
import { runLoadSimulation, type LoadSimulationOptions, type LoadSimulationResult } from './runLoadSimulation.js'

/** Results at one load, with the admission controller and with the naive queue. */
export interface OverloadRow {
  /** Request rate as a multiple of the capacity. */
  readonly load: number
  readonly admitted: LoadSimulationResult
  readonly naive: LoadSimulationResult
}

/** Results of one cold start scenario, with the admission controller and with the naive queue. */
export interface ColdStartRow {
  readonly scenario: string
  readonly ramped: LoadSimulationResult
  readonly naive: LoadSimulationResult
}

/** Results of the overload benchmark. */
export interface OverloadResult {
  readonly seed: number
  /** Maximum throughput of a simulated server in requests per second. */
  readonly capacity: number
  readonly overload: readonly OverloadRow[]
  readonly coldStart: readonly ColdStartRow[]
  readonly ledger: IdempotencyStoreMemory
}

const WARM_SLOTS = 10
const SERVICE_TIME_MS = 20
const CAPACITY = WARM_SLOTS * 1000 / SERVICE_TIME_MS
const LOAD_FACTORS = [0.5, 1, 2, 4]

const WARM_SERVER = {
  warmSlots: WARM_SLOTS,
  coldSlots: 1,
  warmUpResponses: 0,
  serviceTime: SERVICE_TIME_MS,
  overloadTolerance: 300,
  restartTime: 1000
}
const COLD_SERVER = { ...WARM_SERVER, warmUpResponses: 400 }

function runOverload (seed: number, load: number): OverloadRow {
  const rate = load * CAPACITY
  const plan = { seed, server: WARM_SERVER, servers: 1, rate, duration: 20_000, deadline: 400, orderShare: 0.1 }
  return {
    load,
    admitted: runLoadSimulation({ ...plan, hasAdmission: true }),
    naive: runLoadSimulation({ ...plan, hasAdmission: false })
  }
}

function runColdStart (scenario: string, seed: number, overrides: Partial<LoadSimulationOptions>): ColdStartRow {
  const rate = 0.7 * CAPACITY
  const plan = {
    seed, server: COLD_SERVER, servers: 1, rate, duration: 30_000, deadline: 400, orderShare: 0.1, ...overrides
  }
  return {
    scenario,
    ramped: runLoadSimulation({ ...plan, hasAdmission: true }),
    naive: runLoadSimulation({ ...plan, hasAdmission: false })
  }
}

/** Simulates overload and cold starts of servers, each with the admission controller and with the naive queue. */
export function runOverloadBench ({ seed }: { seed: number }): OverloadResult {
  return {
    seed,
    capacity: CAPACITY,
    overload: LOAD_FACTORS.map((load) => runOverload(seed, load)),
    coldStart: [
      runColdStart('one cold server', seed, {}),
      runColdStart('turns cold without a restart at 10 s', seed, { coldAt: 10_000 }),
      runColdStart('8 cold servers at once', seed, { servers: 8, rate: 8 * 0.7 * CAPACITY })
    ],
    ledger: measureIdempotencyStore()
  }
}

/** Formats the results as text tables. */
export function formatOverloadTable ({ seed, capacity, overload, coldStart, ledger }: OverloadResult): string {
  const formatCell = (value: number | string): string => String(value).padStart(10)
  const lines = [
    `seed ${seed}; capacity ${capacity} requests a second; simulated time`,
    ['load', 'admitted/s', 'orders', 'naive/s', 'orders'].map(formatCell).join(' '),
    ...overload.map(({ load, admitted, naive }) => [
      `${load}x`, admitted.goodput.toFixed(0), admitted.orders.toFixed(3), naive.goodput.toFixed(0), naive.orders.toFixed(3)
    ].map(formatCell).join(' ')),
    '',
    'cold start'.padEnd(38) + ['ramped/s', 'last fifth', 'falls', 'naive/s', 'last fifth', 'falls'].map(formatCell).join(' '),
    ...coldStart.map(({ scenario, ramped, naive }) => scenario.padEnd(38) + [ramped, naive].flatMap((result) =>
      [result.goodput.toFixed(0), result.finalGoodput.toFixed(0), result.falls]).map(formatCell).join(' ')),
    '',
    `ledger, bytes for each of ${ledger.records} records: completed ${ledger.completed.toFixed(0)}, ` +
    `with a 200-byte answer ${ledger.answered.toFixed(0)}, refused ${ledger.refused.toFixed(0)}`
  ]
  return lines.join('\n')
}

/** Prints the results as text tables. */
export function printOverloadTable (result: OverloadResult): void {
  console.log(formatOverloadTable(result))
}
