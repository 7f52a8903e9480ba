import * as z from 'zod'

const socketAddressSchema = z.object({ host: z.string().min(1), port: z.number().int().min(1).max(65_535) })

/** Limits of what clients and the backend server can make a node hold in memory. */
const connectionLimitsSchema = z.object({
  /** Open requests on one connection from which on no more are read from it. */
  connectionRequests: z.number().int().min(2),
  /** Bytes buffered for one connection from which on no more requests are read from it. */
  connectionBytes: z.number().int().positive(),
  /** Open requests on all connections; beyond that, those with the most are closed. */
  nodeRequests: z.number().int().positive(),
  /** Bytes buffered for all connections; beyond that, those with the most are closed. */
  nodeBytes: z.number().int().positive(),
  /** Time after which a connection is closed if its client reads nothing of a waiting response, in milliseconds. */
  stallMs: z.number().int().positive(),
  /** Connections on all listeners together, as allowed by the file descriptors. */
  connections: z.number().int().positive(),
  /** Bytes of request bodies that the backend server has, or will get, and has not answered. */
  backendBytes: z.number().int().positive()
})

/** Settings of a node beside a backend server, in the project's terms. */
export const nodeSettingsSchema = z.object({
  host: z.string().min(1),
  dataCentre: z.string(),
  /** Service of the backend server on the same host. */
  service: z.string(),
  /** Address of the backend server on the same host. */
  backend: socketAddressSchema,
  /** Listener for requests from callers on the host and from the backend server itself. */
  callers: socketAddressSchema,
  /** Listener for requests that other nodes forward to the backend server. */
  requests: socketAddressSchema,
  /** Listener for the platform's readiness checks. */
  readiness: socketAddressSchema,
  /** Listener for status reports of the backend server. */
  reports: socketAddressSchema,
  /** Listener at which other nodes request store rows and check liveness. */
  peers: socketAddressSchema,
  /** Listener that serves metrics. */
  metrics: socketAddressSchema,
  /** Addresses of nodes from which the configuration is fetched while the store does not respond. */
  seeds: z.array(socketAddressSchema),
  /** Address of the platform's metadata store. */
  store: socketAddressSchema,
  /** Interval between status reports of the backend server, in milliseconds. */
  reportIntervalMs: z.number().positive(),
  /** Time within which a change of the configuration must be in force, in milliseconds. */
  applyMs: z.number().positive(),
  /** True if requests with keys are refused while keys may have been removed without this node knowing. */
  failClosed: z.boolean(),
  /** Time after which no request with a removed key may run, in milliseconds; undefined if not stated. */
  revocationMs: z.number().positive().optional(),
  /** Time from acknowledging that the backend server leaves to the last request sent to it, in milliseconds. */
  drainMs: z.number().positive(),
  /** Time from the stop signal to the end of the process, in milliseconds. */
  gracePeriodMs: z.number().positive(),
  /** Maximum request rate sent to a cold backend server, as a multiple of its declared rate. */
  coldOvershoot: z.number().positive(),
  /** Retry budget: maximum ratio of retries to first attempts, over all nodes. */
  retryRatio: z.number().nonnegative(),
  /** Retry budget: retries allowed per window regardless of traffic, over all nodes. */
  retrySlack: z.number().nonnegative(),
  /** Length of the retry budget's window, in milliseconds. */
  retryWindowMs: z.number().positive(),
  /** Bandwidth of the host's network link, in Mbit/s. */
  linkMbps: z.number().nonnegative(),
  /** Memory of the host, in megabytes. */
  memoryMb: z.number().positive(),
  /**
   * Whether requests are admitted by the capacity of the services that their runs call, and ordered by the work that
   * they need.
   */
  overloadControl: z.boolean(),
  connectionLimits: connectionLimitsSchema,
  /** Usage reports; absent if the node takes no part in them. */
  usage: z.object({
    /** Address to which the reports are sent. */
    address: socketAddressSchema,
    /** Time for which the duty is valid after its last renewal, in milliseconds. */
    leaseMs: z.number().positive(),
    /** Length of the time that one report covers, in milliseconds. */
    windowMs: z.number().positive(),
    /** Time after a window's end in which its report is due, in milliseconds. */
    lateMs: z.number().positive()
  }).optional()
})

/** Limits of what clients and the backend server can make a node hold in memory. */
export type NodeConnectionLimits = z.infer<typeof connectionLimitsSchema>

/** Host name or IP address, and port, of a listener. */
export type SocketAddress = z.infer<typeof socketAddressSchema>
/** Validated settings of a node beside a backend server. */
export type NodeSettings = z.infer<typeof nodeSettingsSchema>
