import * as z from 'zod'

/** Requests that backend servers began to run, by team. */
const teamCountsSchema = z.record(z.string(), z.number().int().nonnegative())
/** Counts of one window by source (a process of a host) and team. */
export const sourceCountsSchema = z.record(z.string(), teamCountsSchema)
const windowSchema = z.number().int().nonnegative()

/** Lease of a duty. Each write of the holder changes the row, so an unchanged row shows that the holder is gone. */
export const dutyLeaseSchema = z.object({
  holder: z.string().min(1),
  /** Distinguishes the processes of the holder. */
  run: z.number().int().nonnegative(),
  /** Fencing token; the digits above `TOKENS_PER_ERA` are the store era in which it was issued. */
  token: z.number().int().nonnegative(),
  /** Number of the write within the process; recognizes a write whose response was lost. */
  sequence: z.number().int().nonnegative(),
  /** Last window whose report is fixed. */
  closedUpTo: z.number().int()
})

/** Row that names the holder of a duty to all nodes; written only when the holder changes. */
export const dutyHolderSchema = z.object({ holder: z.string().min(1), token: z.number().int().nonnegative() })

/** Counts that a node sends to the holder of the duty. */
export const usagePushSchema = z.object({
  host: z.string().min(1),
  run: z.number().int().nonnegative(),
  /** Last window that the sender knows to be closed. */
  closedUpTo: z.number().int(),
  /** Wall-clock time of the sender, in milliseconds since the Unix epoch. */
  wall: z.number(),
  /** Cumulative counts of the sender's process for each window that changed. */
  windows: z.array(z.object({ window: windowSchema, counts: teamCountsSchema }))
})

/** Response to pushed counts. */
export const usageAckSchema = z.object({
  /** False if the responding node does not hold the duty; the counts are not recorded then. */
  isHolder: z.boolean(),
  token: z.number().int().nonnegative(),
  closedUpTo: z.number().int(),
  /** True time as known to the holder, in milliseconds since the Unix epoch. */
  trueTime: z.number()
})

/** Lease of a duty. */
export type DutyLease = z.infer<typeof dutyLeaseSchema>
/** Row that names the holder of a duty. */
export type DutyHolder = z.infer<typeof dutyHolderSchema>
/** Counts that a node sends to the holder of the duty. */
export type UsagePush = z.infer<typeof usagePushSchema>
/** Response to pushed counts. */
export type UsageAck = z.infer<typeof usageAckSchema>
