import * as z from 'zod'
import { nameSchema } from '../settings/daemonSettingsSchema.js'

/** Priority classes of queued requests, from highest to lowest. */
export const PRIORITIES = ['order', 'lookup', 'upload'] as const

/** Priority class of a route. */
export const prioritySchema = z.enum(PRIORITIES)
/** Priority class of a queued request. */
export type Priority = z.output<typeof prioritySchema>

/** HTTP methods that a route can match. */
export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const

/** HTTP method of a route. */
export const methodSchema = z.enum(METHODS)

/** A path prefix that matches whole path segments. */
export const pathSchema = z.string().regex(/^\/[^\s?#]*$/, 'a path that begins with "/"')

/** Limits of a service. `slots`, `connections` and `queue` apply to each instance. */
export const limitsSchema = z.strictObject({
  slots: z.int().min(1).max(10_000).default(10),
  connections: z.int().min(1).max(100_000).default(100),
  queue: z.int().min(0).max(100_000).default(40),
  /** Normal latency of a warm instance, in milliseconds. Requests that take longer count as slow in rollouts. */
  expected_latency_ms: z.int().min(1).max(600_000).default(100)
})

/** A route as declared in an intent file. `service` defaults to the service that the file declares. */
export const routeIntentSchema = z.strictObject({
  name: nameSchema,
  method: methodSchema,
  path: pathSchema,
  idempotent: z.boolean(),
  deadline_ms: z.int().min(1).max(3_600_000).default(10_000),
  priority: prioritySchema.default('lookup'),
  service: nameSchema.optional()
})

/** A rollout as declared in an intent file: the target version and the time by which it must finish. */
export const rolloutIntentSchema = z.strictObject({
  to: nameSchema,
  finish_by: z.date('a date and time with offset, such as 2026-12-04T18:00:00Z')
})

/** Content of an intent file: the desired state of a service, its routes and its rollout, if one is wanted. */
export const intentSchema = z.strictObject({
  service: nameSchema,
  stable: nameSchema,
  limits: limitsSchema.prefault({}),
  route: z.array(routeIntentSchema).default([]),
  rollout: rolloutIntentSchema.optional()
})

/** Desired state of a service, with defaults applied. */
export type Intent = z.output<typeof intentSchema>
/** Desired state of a route, with defaults applied. */
export type RouteIntent = z.output<typeof routeIntentSchema>
