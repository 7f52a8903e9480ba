import * as z from 'zod'

/** Versions of a service that may run requests, and the progress of its latest rollout. */
export const releaseSchema = z.object({
  service: z.string().min(1),
  /** Version that receives all requests while no rollout is running. */
  stable: z.string(),
  /** Versions that were rolled back; they receive no requests. */
  denied: z.array(z.string()),
  /** Version up to which rows of orders from before a restore of the store are known; they start no rollout. */
  seenOrder: z.number().optional(),
  rollout: z.object({
    /** Row version of the operator's order; distinguishes repeated orders with the same content. */
    order: z.number(),
    /** Version of the same order's row in a store that was restored since. */
    orderRow: z.number().optional(),
    to: z.string(),
    state: z.enum(['running', 'completed', 'rolled-back']),
    /** Share of requests sent to the new version, in 0..1. */
    share: z.number().min(0).max(1),
    /** Start time on the store's clock, in milliseconds. */
    startedAt: z.number(),
    /** Time within which the rollout must complete or be rolled back, in milliseconds. */
    durationMs: z.number(),
    /** Time of the last step on the store's clock, in milliseconds. */
    steppedAt: z.number(),
    /** Host whose node made the last step. */
    controller: z.string(),
    reason: z.string()
  }).nullable()
})

/** Released versions and latest rollout of a service. */
export type Release = z.infer<typeof releaseSchema>
/** Progress of the latest rollout of a service. */
export type MeshRollout = NonNullable<Release['rollout']>

/** An operator's order to roll a service out to a version within `durationMs` milliseconds. */
export const rolloutOrderSchema = z.object({
  service: z.string().min(1),
  to: z.string().min(1),
  durationMs: z.number().positive()
})

/** An operator's order to roll a service out to a version. */
export type RolloutOrder = z.infer<typeof rolloutOrderSchema>
