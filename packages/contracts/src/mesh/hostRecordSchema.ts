import * as z from 'zod'
import { remoteAddressSchema } from '../settings/addressSchema.js'
import { MAX_SEQUENCE, MAX_SLOTS, MAX_STARTED_AT_MS } from './reportLimits.js'

/** Highest plausible bandwidth of a link, in Mbit/s. */
const MAX_LINK_MBPS = 1_000_000

/** Record that a node publishes about the backend server on its host. */
export const hostRecordSchema = z.object({
  host: z.string().min(1),
  dataCentre: z.string(),
  service: z.string(),
  /** Address at which other nodes send requests for the backend server. */
  requestAddress: remoteAddressSchema,
  /** Address at which other nodes request store rows and check liveness. */
  peerAddress: remoteAddressSchema,
  /** Bandwidth of the host's network link, in Mbit/s. Hosts with high bandwidth read the store on behalf of others. */
  linkMbps: z.number().nonnegative().max(MAX_LINK_MBPS).default(0),
  /** True if the node accepts requests for its backend server. */
  serving: z.boolean(),
  /** True if the node has acknowledged that this instance leaves. After a restart, the node reads this back. */
  leaving: z.boolean().default(false),
  /** Instance id of the backend server process; a restarted process may reuse it. */
  instance: z.string(),
  /** Wall-clock start of the instance, in milliseconds since the Unix epoch; 0 if unknown. */
  startedAt: z.number().int().nonnegative().max(MAX_STARTED_AT_MS),
  /** Sequence number of the last status report that changed the record. */
  sequence: z.number().nonnegative().max(MAX_SEQUENCE),
  /** Version of the service that the backend server runs. */
  version: z.string(),
  /** Maximum number of requests that the backend server runs concurrently. */
  slots: z.number().int().positive().max(MAX_SLOTS),
  /**
   * True if the node sends no requests to the backend server on this host, because its version, which is under rollout,
   * fails.
   */
  versionCut: z.boolean(),
  /** Row version of the rollout order in whose course the version was cut; 0 if unknown or not cut. */
  cutOrder: z.number().nonnegative().default(0),
  /** Row version of the rollout order since which the backend server has answered requests; 0 if it has not. */
  provenOrder: z.number().nonnegative().default(0)
})

/** Published record of a host and its backend server. */
export type HostRecord = z.infer<typeof hostRecordSchema>
