import * as z from 'zod'

/** One destination of a route. Requests are spread over the parts in proportion to their weights. */
const routePartSchema = z.object({
  service: z.string().min(1),
  weight: z.number().nonnegative()
})

/** How requests of one caller-facing host name and path prefix are handled. */
export const meshRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash; the longest match wins. */
  prefix: z.string(),
  /** Requests may run more than once. */
  idempotent: z.boolean(),
  /** Longest time to keep a caller waiting, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** An answer within this time is worth most, in milliseconds. */
  targetLatencyMs: z.number().positive(),
  /** Backend servers that one request may reach. */
  maxAttempts: z.number().int().positive(),
  /** Rank; 0 is the highest. */
  priority: z.number(),
  parts: z.array(routePartSchema).min(1)
})

/** What holds for every backend server of one service. */
export const meshServiceSchema = z.object({
  name: z.string(),
  /** Path at which a backend server tells whether it is healthy. */
  healthPath: z.string(),
  /** Connections that a backend server accepts from all callers together. */
  maxConnections: z.number().positive(),
  /** Requests a second that a cold backend server bears. */
  coldPerSecond: z.number().nonnegative()
})

/** Bounds on what a caller sends. */
export const meshLimitsSchema = z.object({
  maxHeaderBytes: z.number().positive(),
  maxBodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})

/** The configuration that every node follows; versions only rise. */
export const meshConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(meshRouteSchema),
  services: z.array(meshServiceSchema),
  limits: meshLimitsSchema
})

export type MeshRoute = z.infer<typeof meshRouteSchema>
export type MeshService = z.infer<typeof meshServiceSchema>
export type MeshLimits = z.infer<typeof meshLimitsSchema>
export type MeshConfiguration = z.infer<typeof meshConfigurationSchema>
