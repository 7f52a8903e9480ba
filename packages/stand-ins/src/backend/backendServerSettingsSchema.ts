import * as z from 'zod'

/**
 * Fault of a bad version. It shows once every stated condition holds: `afterRequests` runs begun, `afterMs`
 * milliseconds since the start, more than `aboveRunning` requests running, and a path that begins with `path`.
 */
export const versionFaultSchema = z.strictObject({
  /** `fail` answers 500, `slow` adds `slowMs`, `truncate` cuts the connection in the middle of the answer. */
  effect: z.enum(['fail', 'slow', 'truncate']),
  slowMs: z.number().min(0).default(200),
  /** Share of matching requests that show the fault. */
  share: z.number().min(0).max(1).default(1),
  afterRequests: z.int().min(0).default(0),
  afterMs: z.number().min(0).default(0),
  aboveRunning: z.int().min(0).default(0),
  path: z.string().default('')
})

/** A request that crashes the server: its path contains `path` and the first 4 KiB of its body contain `body`. */
export const poisonSchema = z.strictObject({ path: z.string().default(''), body: z.string().default('') })

export const coldStartSchema = z.strictObject({
  /** Whether the server starts cold. */
  cold: z.boolean().default(false),
  /** Requests at once that the server bears when cold. */
  capacity: z.int().min(1).default(1),
  /** Answers served within capacity for each further request at once. */
  growEvery: z.int().min(1).default(3),
  /** Requests at once above capacity that the server still bears before it collapses. */
  tolerance: z.int().min(0).default(1),
  /** Factor on the service time while cold. */
  slowFactor: z.number().min(1).default(3)
})

/** Behaviour of a backend server stand-in; durations in milliseconds. */
export const backendServerSettingsSchema = z.strictObject({
  slots: z.int().min(1).default(10),
  /** Requests that wait for a slot before the server sheds load with 503. */
  queue: z.int().min(0).default(100),
  serviceMs: z.number().min(0).default(0),
  /** Greatest relative deviation of the service time, drawn evenly. */
  spread: z.number().min(0).max(1).default(0.2),
  coldStart: coldStartSchema.prefault({}),
  /** What a collapse or a poison request does: end the process, or drop every connection for `resetMs`. */
  collapse: z.enum(['exit', 'reset']).default('reset'),
  resetMs: z.number().min(0).default(300),
  faults: z.array(versionFaultSchema).default([]),
  poison: z.array(poisonSchema).default([]),
  /** Age of the state that the health and load endpoints tell. */
  reportLagMs: z.number().min(0).default(0),
  /** A fixed health answer in place of the true one. */
  reportHealth: z.enum(['true', 'serving', 'failing']).default('true'),
  /** A fixed load answer in place of the true one. */
  reportLoad: z.enum(['true', 'idle', 'busy']).default('true')
})

export type BackendServerSettings = z.output<typeof backendServerSettingsSchema>
export type BackendServerSettingsInput = z.input<typeof backendServerSettingsSchema>
export type VersionFault = z.output<typeof versionFaultSchema>
