import * as z from 'zod'

/** What a backend server says of itself. */
export const statusReportSchema = z.object({
  /** Name of one run of the backend server; a restart may reuse it. */
  instance: z.string().min(1),
  /** Wall-clock start of the run, in milliseconds since the Unix epoch; 0 if it was not told. */
  startedAt: z.number().nonnegative(),
  address: z.string(),
  service: z.string().min(1),
  version: z.string().min(1),
  dataCentre: z.string(),
  /** Requests that it runs at once. */
  slots: z.number().int().positive(),
  state: z.enum(['serving', 'draining']),
  /** Rises with each report of one run. */
  sequence: z.number(),
  /** Time for which it stays cold, in milliseconds. */
  coldMs: z.number().nonnegative()
})

export type StatusReport = z.infer<typeof statusReportSchema>
