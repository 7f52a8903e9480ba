import * as z from 'zod'
import { configurationSchema, routeSchema, serviceSchema } from '../configuration/configurationSchema.js'
import { nameSchema } from '../settings/daemonSettingsSchema.js'

/** Largest frame between nodes, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576

const counter = z.int().min(0)

export const endpointStateSchema = z.enum(['starting', 'serving', 'draining', 'left'])

/**
 * What a node says of itself and its backend server.
 * A record of the same host with a higher (incarnation, sequence) replaces it.
 */
export const endpointSchema = z.object({
  host: nameSchema,
  dataCentre: nameSchema,
  incarnation: counter,
  sequence: counter,
  state: endpointStateSchema,
  /** Absent for a node without a backend server. */
  service: nameSchema.optional(),
  version: nameSchema.optional(),
  slots: counter,
  /** Slots that the backend server bears at present; below `slots` during a cold start. Announced in coarse steps. */
  warmSlots: counter,
  requestAddress: z.string(),
  peerAddress: z.string(),
  adminAddress: z.string()
})

/** An operator's order. For one subject the order with the higher (number, id) wins everywhere. */
export const orderSchema = z.object({
  subject: z.string().regex(/^(?:data-centre|host)\/[a-z0-9-]+$/, '"data-centre/NAME" or "host/NAME"'),
  action: z.enum(['drain', 'restore']),
  number: counter,
  id: z.string().min(1),
  operator: z.string(),
  /** Wall-clock milliseconds at the node that took the order. */
  issuedAt: z.number()
})

/** Fingerprint of a request that was in flight when a backend server died. */
export const suspectSchema = z.object({
  fingerprint: z.string(),
  host: nameSchema,
  incarnation: counter,
  /** Tells crashes of one host apart. */
  crash: counter,
  observedAt: z.number()
})

/** Counts of one route of one version in one data centre since the last report; latencies in milliseconds. */
export const evidenceSchema = z.object({
  service: nameSchema,
  version: nameSchema,
  route: nameSchema,
  requests: counter,
  failures: counter,
  latencySum: z.number().min(0),
  /** Requests slower than the service's expected latency. */
  slow: counter
})

const configurationId = { version: counter, digest: z.string() }

export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    host: nameSchema,
    dataCentre: nameSchema,
    incarnation: counter,
    peerAddress: z.string(),
    scope: z.array(nameSchema),
    relay: z.boolean(),
    ...configurationId
  }),
  z.object({ kind: z.literal('heartbeat'), sequence: counter, version: counter }),
  z.object({ kind: z.literal('offer'), ...configurationId }),
  z.object({ kind: z.literal('fetch'), base: counter, scope: z.array(nameSchema), ...configurationId }),
  z.object({
    kind: z.literal('delta'),
    base: counter,
    ...configurationId,
    operationId: z.string(),
    author: z.string(),
    acceptedAt: z.number(),
    summary: z.string(),
    /** Digest of the receiver's part of the configuration once the delta is applied. */
    contentDigest: z.string(),
    services: z.record(nameSchema, serviceSchema),
    routes: z.record(nameSchema, routeSchema),
    removedServices: z.array(nameSchema),
    removedRoutes: z.array(nameSchema)
  }),
  z.object({
    kind: z.literal('snapshot'),
    digest: z.string(),
    contentDigest: z.string(),
    configuration: configurationSchema
  }),
  z.object({ kind: z.literal('endpoints'), endpoints: z.array(endpointSchema) }),
  z.object({ kind: z.literal('silent'), host: nameSchema, incarnation: counter, sequence: counter }),
  z.object({ kind: z.literal('orders'), orders: z.array(orderSchema) }),
  z.object({ kind: z.literal('suspects'), suspects: z.array(suspectSchema) }),
  z.object({ kind: z.literal('evidence'), dataCentre: nameSchema, evidence: z.array(evidenceSchema) }),
  z.object({ kind: z.literal('rejected'), version: counter, reason: z.string() }),
  z.object({ kind: z.literal('subscribe') }),
  z.object({
    kind: z.literal('roster'),
    nodes: z.array(z.object({ version: counter, hosts: z.array(nameSchema) })),
    rejections: z.array(z.object({ host: nameSchema, reason: z.string() }))
  }),
  z.object({ kind: z.literal('reach'), dataCentres: z.array(nameSchema) })
])

export type EndpointState = z.output<typeof endpointStateSchema>
export type Endpoint = z.output<typeof endpointSchema>
export type Order = z.output<typeof orderSchema>
export type Suspect = z.output<typeof suspectSchema>
export type Evidence = z.output<typeof evidenceSchema>
export type PeerMessage = z.output<typeof peerMessageSchema>
