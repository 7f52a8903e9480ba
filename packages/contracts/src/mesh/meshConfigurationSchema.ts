import * as z from 'zod'

/** A destination of a route. Requests are distributed among the destinations in proportion to their weights. */
const routePartSchema = z.object({
  service: z.string().min(1),
  weight: z.number().nonnegative()
})

/** How requests to a host name and path prefix are routed and limited. */
export const meshRouteSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path prefix that begins and ends with a slash. The longest matching prefix wins. */
  prefix: z.string(),
  /** True if requests may run more than once. */
  idempotent: z.boolean(),
  /** Maximum time that a caller waits for a response, in milliseconds. */
  timeoutMs: z.number().positive(),
  /** Target response time, in milliseconds. Responses within this time have the highest value. */
  targetLatencyMs: z.number().positive(),
  /** Maximum number of backend servers to which a request is sent. */
  maxAttempts: z.number().int().positive(),
  /** Priority; 0 is the highest. */
  priority: z.number(),
  /** True if requests need no key although the configuration has teams. */
  isPublic: z.boolean(),
  parts: z.array(routePartSchema).min(1)
})

/** Settings that apply to every backend server of a service. */
export const meshServiceSchema = z.object({
  name: z.string(),
  /** Path of the health check endpoint of a backend server. */
  healthPath: z.string(),
  /** Maximum number of connections that a backend server accepts in total. */
  maxConnections: z.number().positive(),
  /** Request rate that a cold backend server can handle, in requests per second. */
  coldPerSecond: z.number().nonnegative()
})

/** Limits on the size and timing of callers' requests. Sizes are in bytes, times in milliseconds. */
export const meshLimitsSchema = z.object({
  maxHeaderBytes: z.number().positive(),
  maxBodyBytes: z.number().positive(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive()
})

/** A team of callers, identified by any of its keys. */
export const meshTeamSchema = z.object({
  name: z.string().min(1),
  /** Priority of the team's requests, instead of the priority of their routes; 0 is the highest. */
  priority: z.number().optional(),
  /** SHA-256 digests of the team's keys, as returned by `digestTeamKey`. */
  keyDigests: z.array(z.string())
})

/** The configuration that every node applies. The version number never decreases. */
export const meshConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(meshRouteSchema),
  services: z.array(meshServiceSchema),
  limits: meshLimitsSchema,
  /** If there is any, requests on routes that are not public need a key. */
  teams: z.array(meshTeamSchema)
})

/** A route of the operator's configuration. */
export type MeshRoute = z.infer<typeof meshRouteSchema>
/** A service of the operator's configuration. */
export type MeshService = z.infer<typeof meshServiceSchema>
/** A team of the operator's configuration. */
export type MeshTeam = z.infer<typeof meshTeamSchema>
/** Request limits of the operator's configuration. Sizes are in bytes, times in milliseconds. */
export type MeshLimits = z.infer<typeof meshLimitsSchema>
/** The operator's configuration: routes, services, limits and teams of one version. */
export type MeshConfiguration = z.infer<typeof meshConfigurationSchema>
