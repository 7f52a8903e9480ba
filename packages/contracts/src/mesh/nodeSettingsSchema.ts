import * as z from 'zod'

const endpointSchema = z.object({ host: z.string().min(1), port: z.number().int().min(1).max(65_535) })

/** Settings of a node beside a backend server, in the project's own terms. */
export const nodeSettingsSchema = z.object({
  host: z.string().min(1),
  dataCentre: z.string(),
  /** Service of the backend server beside the node. */
  service: z.string(),
  /** Address of the backend server beside the node. */
  backend: endpointSchema,
  /** Where callers on the host, and the backend server itself, send requests. */
  callers: endpointSchema,
  /** Where other nodes send requests for the backend server. */
  requests: endpointSchema,
  /** Where the platform asks whether the node is ready. */
  readiness: endpointSchema,
  /** Where the backend server sends its status reports. */
  reports: endpointSchema,
  /** Where other nodes ask for rows and liveness. */
  peers: endpointSchema,
  /** Where metrics are served. */
  metrics: endpointSchema,
  /** Addresses of nodes to ask for the configuration while the store does not answer. */
  seeds: z.array(endpointSchema),
  store: endpointSchema,
  /** Time between two status reports of the backend server, in milliseconds. */
  reportIntervalMs: z.number().positive(),
  /** Time from the acknowledgement of a leave to the last request, in milliseconds. */
  drainMs: z.number().positive(),
  /** Time from the stop signal to the end of the process, in milliseconds. */
  gracePeriodMs: z.number().positive(),
  /** Requests that a cold backend server may get in a second, as a multiple of its stated rate. */
  coldOvershoot: z.number().positive(),
  /** Requests sent again, as a share of first tries, over all nodes. */
  retryRatio: z.number().nonnegative(),
  /** Requests that may be sent again in each window whatever the traffic, over all nodes. */
  retrySlack: z.number().nonnegative(),
  retryWindowMs: z.number().positive(),
  /** Bandwidth of the host's link, in megabits a second. */
  linkMbps: z.number().nonnegative(),
  /** Memory of the host, in megabytes. */
  memoryMb: z.number().positive()
})

export type HostAddress = z.infer<typeof endpointSchema>
export type NodeSettings = z.infer<typeof nodeSettingsSchema>
