import * as z from 'zod'
import { orderSchema, endpointSchema } from '../messages/messageSchemas.js'

/** What `POST /orders` takes; the node fills in number and time. */
export const orderRequestSchema = z.strictObject({
  subject: orderSchema.shape.subject,
  action: orderSchema.shape.action,
  operator: z.string().min(1),
  id: z.string().min(1)
})

/** A node as its relay sees it. */
export const nodeStatusSchema = z.object({
  endpoint: endpointSchema,
  /** Configuration version that the node last reported; 0 for none. */
  configurationVersion: z.int().min(0),
  silent: z.boolean(),
  /** Why the node refused the newest version, if it did. */
  rejection: z.string().optional()
})

/** Answer of `GET /status`: this node, and the nodes it knows. */
export const statusSchema = z.object({
  host: z.string(),
  dataCentre: z.string(),
  relay: z.boolean(),
  configurationVersion: z.int().min(0),
  configurationDigest: z.string(),
  storeReachable: z.boolean(),
  nodes: z.array(nodeStatusSchema),
  orders: z.array(orderSchema)
})

/** Answer of `GET /explain?method=&path=`. */
export const explanationSchema = z.object({
  configurationVersion: z.int().min(0),
  route: z.string().optional(),
  service: z.string().optional(),
  shares: z.record(z.string(), z.number()).optional(),
  version: z.string().optional(),
  host: z.string().optional(),
  reason: z.string(),
  candidates: z.array(z.object({ host: z.string(), dataCentre: z.string(), version: z.string(), note: z.string() }))
})

export type OrderRequest = z.output<typeof orderRequestSchema>
export type NodeStatus = z.output<typeof nodeStatusSchema>
export type Status = z.output<typeof statusSchema>
export type Explanation = z.output<typeof explanationSchema>
