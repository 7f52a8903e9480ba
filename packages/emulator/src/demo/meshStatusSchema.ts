import * as z from 'zod'

/** Fields that the demo reads from the output of `snipenotch status --json`. */
export const meshStatusSchema = z.object({
  accepted: z.int().min(1),
  storeReachable: z.boolean(),
  dataCentres: z.array(z.object({
    name: z.string(),
    drained: z.boolean(),
    hosts: z.array(z.object({ host: z.string(), version: z.int().min(0), state: z.string() }))
  })),
  lagging: z.array(z.object({ host: z.string(), version: z.int(), reason: z.string() })),
  rollouts: z.array(z.object({ service: z.string(), outcome: z.string(), reason: z.string() }))
})

/** Parsed output of `snipenotch status --json`. */
export type MeshStatus = z.output<typeof meshStatusSchema>
