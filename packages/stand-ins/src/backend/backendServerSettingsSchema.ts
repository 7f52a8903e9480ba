import * as z from 'zod'

/**
 * Fault of a service version. It takes effect once all conditions hold: `afterRequests` runs started, `afterMs`
 * milliseconds since the start, more than `aboveRunning` requests running, and a path that begins with `path`.
 */
export const versionFaultSchema = z.strictObject({
  /**
   * `fail` responds with 500, `slow` adds `slowMs`, `truncate` resets the connection in the middle of the response,
   * `malform` sends a response whose head no HTTP response may have.
   */
  effect: z.enum(['fail', 'slow', 'truncate', 'malform']),
  slowMs: z.number().min(0).default(200),
  /** Share of matching requests that the fault affects, in 0..1. */
  share: z.number().min(0).max(1).default(1),
  afterRequests: z.int().min(0).default(0),
  afterMs: z.number().min(0).default(0),
  aboveRunning: z.int().min(0).default(0),
  path: z.string().default('')
})

/** A request that crashes the server: its path contains `path` and the first 4 KiB of its body contain `body`. */
export const poisonSchema = z.strictObject({ path: z.string().default(''), body: z.string().default('') })

/** Model of a cold start, during which the server sustains few concurrent requests and is slow. */
export const coldStartSchema = z.strictObject({
  /** Whether the server starts cold. */
  cold: z.boolean().default(false),
  /** Concurrent requests that the server sustains when cold. */
  capacity: z.int().min(1).default(1),
  /** Successful requests after which the capacity grows by one. */
  growEvery: z.int().min(1).default(3),
  /** Number of concurrent requests above the capacity that do not yet crash the server. */
  tolerance: z.int().min(0).default(1),
  /** Factor on the service time while the server is cold. */
  slowFactor: z.number().min(1).default(3)
})

/** Behaviour of a backend server stand-in; durations in milliseconds. */
export const backendServerSettingsSchema = z.strictObject({
  slots: z.int().min(1).default(10),
  /** Maximum number of requests that wait for a slot; the server rejects further ones with 503. */
  queue: z.int().min(0).default(100),
  /** Mean service time of a warm server. */
  serviceMs: z.number().min(0).default(0),
  /** Maximum relative deviation of the service time, uniformly distributed. */
  spread: z.number().min(0).max(1).default(0.2),
  coldStart: coldStartSchema.prefault({}),
  /** Effect of a crash by overload while cold or by poison: end the process, or reset connections for `resetMs`. */
  collapse: z.enum(['exit', 'reset']).default('reset'),
  resetMs: z.number().min(0).default(300),
  faults: z.array(versionFaultSchema).default([]),
  poison: z.array(poisonSchema).default([]),
  /** Age of the state that the health and load endpoints report. */
  reportLagMs: z.number().min(0).default(0),
  /** Health that the endpoint reports: the actual one (`true`) or a fixed one. */
  reportHealth: z.enum(['true', 'serving', 'failing']).default('true'),
  /** Load that the endpoint reports: the actual one (`true`) or a fixed one. */
  reportLoad: z.enum(['true', 'idle', 'busy']).default('true')
})

/** Behaviour of a backend server stand-in, with defaults applied. */
export type BackendServerSettings = z.output<typeof backendServerSettingsSchema>
/** Behaviour of a backend server stand-in; absent settings get their defaults. */
export type BackendServerSettingsInput = z.input<typeof backendServerSettingsSchema>
/** Fault of a service version. */
export type VersionFault = z.output<typeof versionFaultSchema>
