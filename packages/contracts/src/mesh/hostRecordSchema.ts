import * as z from 'zod'

/** What a node publishes about the backend server beside it. */
export const hostRecordSchema = z.object({
  host: z.string().min(1),
  dataCentre: z.string(),
  service: z.string(),
  /** Where other nodes send requests for the backend server. */
  requestAddress: z.string(),
  /** Where other nodes ask for rows and liveness. */
  peerAddress: z.string(),
  /** Bandwidth of the host's link, in megabits a second; hosts with wide links read the store for others. */
  linkMbps: z.number().nonnegative().default(0),
  /** The node accepts requests for its backend server. */
  serving: z.boolean(),
  /** The node has acknowledged that this run leaves; later processes of the node keep to that. */
  leaving: z.boolean().default(false),
  instance: z.string(),
  startedAt: z.number(),
  /** Sequence number of the last report that changed the record. */
  sequence: z.number(),
  version: z.string(),
  slots: z.number(),
  /** The node has stopped sending to a version under rollout because of its failures. */
  versionCut: z.boolean()
})

export type HostRecord = z.infer<typeof hostRecordSchema>
