import * as z from 'zod'

/** Which versions of a service may run requests, and how far a rollout has come. */
export const releaseSchema = z.object({
  service: z.string().min(1),
  /** The version that takes all requests outside a rollout. */
  stable: z.string(),
  /** Versions that were rolled back; they get no requests. */
  denied: z.array(z.string()),
  rollout: z.object({
    /** Row version of the operator's order, which tells repeated orders apart. */
    order: z.number(),
    to: z.string(),
    state: z.enum(['running', 'completed', 'rolled-back']),
    /** Share of the requests that the new version gets, 0 to 1. */
    share: z.number().min(0).max(1),
    /** Start on the store's clock, in milliseconds. */
    startedAt: z.number(),
    /** Time in which the rollout is to be decided, in milliseconds. */
    durationMs: z.number(),
    /** Time of the last step on the store's clock, in milliseconds. */
    steppedAt: z.number(),
    /** Host that took the last step. */
    controller: z.string(),
    reason: z.string()
  }).nullable()
})

export type Release = z.infer<typeof releaseSchema>
export type MeshRollout = NonNullable<Release['rollout']>

/** An operator's order to move a service to a version. */
export const rolloutOrderSchema = z.object({
  service: z.string().min(1),
  to: z.string().min(1),
  durationMs: z.number().positive()
})

export type RolloutOrder = z.infer<typeof rolloutOrderSchema>
