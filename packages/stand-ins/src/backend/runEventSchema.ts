import * as z from 'zod'

export const RUN_OUTCOMES = ['completed', 'failed', 'truncated', 'cancelled', 'deadline'] as const

const request = { method: z.string(), url: z.string(), key: z.string().optional(), nonce: z.string().optional() }

/** What a backend server stand-in reports, one JSON line each when it runs as its own process. */
export const runEventSchema = z.discriminatedUnion('event', [
  /** Written before the run begins, so that a run that crashes the process is counted. */
  z.object({
    event: z.literal('begin'),
    server: z.string(),
    run: z.string(),
    ...request,
    /** SHA-256 of the body in hexadecimal. */
    digest: z.string(),
    bytes: z.int().min(0)
  }),
  z.object({ event: z.literal('end'), server: z.string(), run: z.string(), outcome: z.enum(RUN_OUTCOMES) }),
  /** A request that never began: turned away, or its body did not arrive whole. */
  z.object({
    event: z.literal('refused'),
    server: z.string(),
    ...request,
    reason: z.enum(['shed', 'draining', 'incomplete', 'cancelled', 'deadline'])
  }),
  z.object({ event: z.literal('crash'), server: z.string(), reason: z.enum(['cold', 'poison', 'ordered']) })
])

export type RunEvent = z.output<typeof runEventSchema>
export type RunOutcome = typeof RUN_OUTCOMES[number]
