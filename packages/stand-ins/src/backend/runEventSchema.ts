import * as z from 'zod'

/** Ways in which a run can end without a crash. */
export const BACKEND_RUN_OUTCOMES = ['completed', 'failed', 'truncated', 'cancelled', 'deadline'] as const

const requestFields = { method: z.string(), url: z.string(), key: z.string().optional(), nonce: z.string().optional() }

/** Events of a backend server stand-in; as a separate process it prints each as one line of JSON. */
export const runEventSchema = z.discriminatedUnion('event', [
  /** Reported before the run starts, so that a run that crashes the process is recorded as well. */
  z.object({
    event: z.literal('begin'),
    server: z.string(),
    run: z.string(),
    ...requestFields,
    /** SHA-256 digest of the body in hexadecimal. */
    digest: z.string(),
    bytes: z.int().min(0)
  }),
  z.object({ event: z.literal('end'), server: z.string(), run: z.string(), outcome: z.enum(BACKEND_RUN_OUTCOMES) }),
  /** A request that was not run: it was rejected, or its body was incomplete. */
  z.object({
    event: z.literal('refused'),
    server: z.string(),
    ...requestFields,
    reason: z.enum(['shed', 'draining', 'incomplete', 'cancelled', 'deadline'])
  }),
  z.object({ event: z.literal('crash'), server: z.string(), reason: z.enum(['cold', 'poison', 'ordered']) })
])

/** Event of a backend server stand-in. */
export type RunEvent = z.output<typeof runEventSchema>
/** Outcome of a run that has ended. */
export type BackendRunOutcome = typeof BACKEND_RUN_OUTCOMES[number]
