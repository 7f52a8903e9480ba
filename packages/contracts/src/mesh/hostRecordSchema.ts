import * as z from 'zod'

/** Record that a node publishes about the backend server on its host. */
export const hostRecordSchema = z.object({
  host: z.string().min(1),
  dataCentre: z.string(),
  service: z.string(),
  /** Address at which other nodes send requests for the backend server. */
  requestAddress: z.string(),
  /** Address at which other nodes request store rows and check liveness. */
  peerAddress: z.string(),
  /** Bandwidth of the host's network link, in Mbit/s. Hosts with high bandwidth read the store on behalf of others. */
  linkMbps: z.number().nonnegative().default(0),
  /** True if the node accepts requests for its backend server. */
  serving: z.boolean(),
  /** True if the node has acknowledged that this instance leaves. The node honours this after a restart as well. */
  leaving: z.boolean().default(false),
  instance: z.string(),
  /** Wall-clock start of the instance, in milliseconds since the Unix epoch; 0 if unknown. */
  startedAt: z.number(),
  /** Sequence number of the last status report that changed the record. */
  sequence: z.number(),
  version: z.string(),
  slots: z.number(),
  /** True if the node has stopped sending requests to the version under rollout because of its failures. */
  versionCut: z.boolean()
})

/** Published record of a host and its backend server. */
export type HostRecord = z.infer<typeof hostRecordSchema>
