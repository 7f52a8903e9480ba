import * as z from 'zod'
import { addressSchema } from './addressSchema.js'

/** Name of a host, data centre, service or version. Short and without dots, so that it can be part of a key. */
export const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'a name of lower-case letters, digits and dashes')

/** A shared secret. 32 hexadecimal characters hold 128 bits. */
export const secretSchema = z.string().min(32, 'a secret of at least 32 characters')

/** Settings of `snipenotchd`. Durations are in milliseconds, sizes in bytes. */
export const daemonSettingsSchema = z.strictObject({
  host: nameSchema,
  data_centre: nameSchema,
  region: nameSchema.default('default'),
  listen: z.strictObject({
    requests: addressSchema,
    peers: addressSchema,
    admin: addressSchema
  }),
  /** Addresses at which others reach this node, if they differ from those on which it listens. */
  advertise: z.strictObject({
    requests: addressSchema.optional(),
    peers: addressSchema.optional(),
    admin: addressSchema.optional()
  }).prefault({}),
  platform: z.strictObject({
    table: addressSchema,
    objects: addressSchema,
    timeout_ms: z.int().min(50).max(60_000).default(1000)
  }),
  secrets: z.strictObject({
    mesh: secretSchema,
    operators: secretSchema
  }),
  backend: z.strictObject({
    address: addressSchema,
    service: nameSchema,
    version: nameSchema,
    slots: z.int().min(1).max(10_000).default(10),
    connections: z.int().min(1).max(100_000).default(100)
  }).optional(),
  seeds: z.array(addressSchema).max(64).default([]),
  scope: z.array(nameSchema).default([]),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info')
  }).prefault({}),
  requests: z.strictObject({
    max_head_bytes: z.int().min(1024).max(1_048_576).default(16_384),
    default_deadline_ms: z.int().min(1).max(3_600_000).default(10_000),
    drain_grace_ms: z.int().min(0).max(600_000).default(1500)
  }).prefault({})
})

/** Validated settings of `snipenotchd`. */
export type DaemonSettings = z.output<typeof daemonSettingsSchema>
