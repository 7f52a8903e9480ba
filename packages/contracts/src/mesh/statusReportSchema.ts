import * as z from 'zod'

/** Status that a backend server reports about itself. */
export const statusReportSchema = z.object({
  /** Instance id of the backend server process; a restarted process may reuse it. */
  instance: z.string().min(1),
  /** Wall-clock start of the instance, in milliseconds since the Unix epoch; 0 if not reported. */
  startedAt: z.number().nonnegative(),
  address: z.string(),
  service: z.string().min(1),
  version: z.string().min(1),
  dataCentre: z.string(),
  /** Maximum number of requests that it runs concurrently. */
  slots: z.number().int().positive(),
  state: z.enum(['serving', 'draining']),
  /** Increases with each report of an instance. */
  sequence: z.number(),
  /** Time for which it remains cold, in milliseconds. */
  coldMs: z.number().nonnegative()
})

/** Status report of a backend server. */
export type StatusReport = z.infer<typeof statusReportSchema>
