import * as z from 'zod'
import { limitsSchema, methodSchema, pathSchema, prioritySchema } from '../intent/intentSchema.js'
import { nameSchema } from '../settings/daemonSettingsSchema.js'

/** Shares of a service's traffic by version name; each in 0..1, together 1. */
export const sharesSchema = z.record(nameSchema, z.number().min(0).max(1))

/** A move of a service's traffic to a new version. Times are wall-clock milliseconds since the Unix epoch. */
export const rolloutSchema = z.strictObject({
  id: z.string().min(1),
  from: nameSchema,
  to: nameSchema,
  startedAt: z.number(),
  finishBy: z.number(),
  /** Number of share changes made so far; part of the operation id of the next one. */
  step: z.int().min(0),
  outcome: z.enum(['running', 'finished', 'taken-back']),
  /** Why the rollout stands where it does, in words for an operator. */
  reason: z.string(),
  endedAt: z.number().optional()
})

export const serviceSchema = z.strictObject({
  name: nameSchema,
  stable: nameSchema,
  shares: sharesSchema,
  limits: limitsSchema,
  rollout: rolloutSchema.optional()
})

export const routeSchema = z.strictObject({
  name: nameSchema,
  method: methodSchema,
  path: pathSchema,
  idempotent: z.boolean(),
  deadlineMs: z.int().min(1),
  priority: prioritySchema,
  service: nameSchema
})

/** The accepted configuration. `version` rises by one with each publish; `acceptedAt` is wall-clock milliseconds. */
export const configurationSchema = z.strictObject({
  version: z.int().min(1),
  operationId: z.string().min(1),
  author: z.string(),
  acceptedAt: z.number(),
  /** One line for the history that says what changed. */
  summary: z.string(),
  services: z.record(nameSchema, serviceSchema),
  routes: z.record(nameSchema, routeSchema)
})

export type Configuration = z.output<typeof configurationSchema>
export type Service = z.output<typeof serviceSchema>
export type Route = z.output<typeof routeSchema>
export type Rollout = z.output<typeof rolloutSchema>
export type Shares = z.output<typeof sharesSchema>
