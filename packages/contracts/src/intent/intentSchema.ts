import * as z from 'zod'
import { nameSchema } from '../settings/daemonSettingsSchema.js'

/** Kinds of work, from most to least urgent when a request has to wait. */
export const PRIORITIES = ['order', 'lookup', 'upload'] as const

export const prioritySchema = z.enum(PRIORITIES)
export type Priority = z.output<typeof prioritySchema>

export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const

export const methodSchema = z.enum(METHODS)

/** A path prefix that matches on whole segments. */
export const pathSchema = z.string().regex(/^\/[^\s?#]*$/, 'a path that begins with "/"')

/** Limits of a service; `slots`, `connections` and `queue` count for each instance. */
export const limitsSchema = z.strictObject({
  slots: z.int().min(1).max(10_000).default(10),
  connections: z.int().min(1).max(100_000).default(100),
  queue: z.int().min(0).max(100_000).default(40),
  /** Latency that a warm instance normally keeps, in milliseconds; used to tell a slow version. */
  expected_latency_ms: z.int().min(1).max(600_000).default(100)
})

export const routeIntentSchema = z.strictObject({
  name: nameSchema,
  method: methodSchema,
  path: pathSchema,
  idempotent: z.boolean(),
  deadline_ms: z.int().min(1).max(3_600_000).default(10_000),
  priority: prioritySchema.default('lookup'),
  service: nameSchema.optional()
})

export const rolloutIntentSchema = z.strictObject({
  to: nameSchema,
  finish_by: z.date('a date and time with offset, such as 2026-12-04T18:00:00Z')
})

/** One intent file: a service, its routes and, while a new version takes over, its rollout. */
export const intentSchema = z.strictObject({
  service: nameSchema,
  stable: nameSchema,
  limits: limitsSchema.prefault({}),
  route: z.array(routeIntentSchema).default([]),
  rollout: rolloutIntentSchema.optional()
})

export type Intent = z.output<typeof intentSchema>
export type RouteIntent = z.output<typeof routeIntentSchema>
