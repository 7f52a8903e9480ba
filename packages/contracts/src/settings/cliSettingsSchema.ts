import * as z from 'zod'
import { addressSchema } from './addressSchema.js'
import { secretSchema } from './daemonSettingsSchema.js'

/** Settings of `snipenotch`. `contacts` are admin addresses of nodes, used while the store is unavailable. */
export const cliSettingsSchema = z.strictObject({
  operator: z.string().min(1).default('operator'),
  platform: z.strictObject({
    table: addressSchema,
    objects: addressSchema,
    timeout_ms: z.int().min(50).max(60_000).default(3000)
  }),
  secrets: z.strictObject({ operators: secretSchema }),
  contacts: z.array(addressSchema).max(64).default([])
})

/** Validated settings of `snipenotch`. */
export type CliSettings = z.output<typeof cliSettingsSchema>
