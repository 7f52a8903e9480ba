import * as z from 'zod'
import { limitsSchema, methodSchema, pathSchema, prioritySchema } from '../intent/intentSchema.js'
import { nameSchema } from '../settings/daemonSettingsSchema.js'

/** Traffic shares of a service by version name. Each is in 0..1, and they sum to 1. */
export const sharesSchema = z.record(nameSchema, z.number().min(0).max(1))

/** A gradual move of a service's traffic to a new version. Times are wall-clock milliseconds since the Unix epoch. */
export const rolloutSchema = z.strictObject({
  id: z.string().min(1),
  from: nameSchema,
  to: nameSchema,
  startedAt: z.number(),
  finishBy: z.number(),
  /** Number of steps published so far. Part of the operation id of the next step. */
  step: z.int().min(0),
  /** `taken-back` means that the rollout was rolled back. */
  outcome: z.enum(['running', 'finished', 'taken-back']),
  /** Reason for the current step or outcome, as text for an operator. */
  reason: z.string(),
  endedAt: z.number().optional()
})

/** A service with its stable version, the traffic share of each version, its limits and its rollout, if any. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  stable: nameSchema,
  shares: sharesSchema,
  limits: limitsSchema,
  rollout: rolloutSchema.optional()
})

/** Maps a method and path prefix to a service. */
export const routeSchema = z.strictObject({
  name: nameSchema,
  method: methodSchema,
  path: pathSchema,
  idempotent: z.boolean(),
  deadlineMs: z.int().min(1),
  priority: prioritySchema,
  service: nameSchema
})

/**
 * The accepted configuration. `version` increases by one with each publish; `acceptedAt` is wall-clock milliseconds
 * since the Unix epoch.
 */
export const configurationSchema = z.strictObject({
  version: z.int().min(1),
  operationId: z.string().min(1),
  author: z.string(),
  acceptedAt: z.number(),
  /** One-line description of the change, shown in the history. */
  summary: z.string(),
  services: z.record(nameSchema, serviceSchema),
  routes: z.record(nameSchema, routeSchema)
})

/** A configuration of the whole mesh: all services and routes of one version. */
export type Configuration = z.output<typeof configurationSchema>
/** A service with its versions, traffic shares, limits and rollout. */
export type Service = z.output<typeof serviceSchema>
/** A route from a method and path prefix to a service. */
export type Route = z.output<typeof routeSchema>
/** A gradual move of a service's traffic to a new version. */
export type Rollout = z.output<typeof rolloutSchema>
/** Traffic shares by version name; they sum to 1. */
export type Shares = z.output<typeof sharesSchema>
