import * as z from 'zod'
import { drainOrderSchema, endpointSchema } from '../messages/messageSchemas.js'

/** Request body of `POST /orders`. The node assigns the order number and the issue time. */
export const drainOrderRequestSchema = z.strictObject({
  subject: drainOrderSchema.shape.subject,
  action: drainOrderSchema.shape.action,
  operator: z.string().min(1),
  id: z.string().min(1)
})

/** State of a node as observed by its relay. */
export const nodeStatusSchema = z.object({
  endpoint: endpointSchema,
  /** Configuration version that the node last reported; 0 if it reported none. */
  configurationVersion: z.int().min(0),
  silent: z.boolean(),
  /** Why the node rejected the newest configuration version; absent if it accepted it. */
  rejection: z.string().optional()
})

/** Response body of `GET /status`: the state of the responding node and of the nodes that it knows. */
export const statusResponseSchema = z.object({
  host: z.string(),
  dataCentre: z.string(),
  relay: z.boolean(),
  configurationVersion: z.int().min(0),
  configurationDigest: z.string(),
  storeReachable: z.boolean(),
  nodes: z.array(nodeStatusSchema),
  orders: z.array(drainOrderSchema)
})

/** Response body of `GET /explain?method=&path=`: how the node would route such a request, and why. */
export const explainResponseSchema = z.object({
  configurationVersion: z.int().min(0),
  route: z.string().optional(),
  service: z.string().optional(),
  shares: z.record(z.string(), z.number()).optional(),
  version: z.string().optional(),
  host: z.string().optional(),
  reason: z.string(),
  candidates: z.array(z.object({ host: z.string(), dataCentre: z.string(), version: z.string(), note: z.string() }))
})

/** Parsed request body of `POST /orders`. */
export type DrainOrderRequest = z.output<typeof drainOrderRequestSchema>
/** State of a node as observed by its relay. */
export type NodeStatus = z.output<typeof nodeStatusSchema>
/** Response body of `GET /status`. */
export type StatusResponse = z.output<typeof statusResponseSchema>
/** Response body of `GET /explain`. */
export type ExplainResponse = z.output<typeof explainResponseSchema>
