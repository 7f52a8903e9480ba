import * as z from 'zod'
import { configurationSchema, routeSchema, serviceSchema } from '../configuration/configurationSchema.js'
import { nameSchema } from '../settings/daemonSettingsSchema.js'

/** Maximum size of a frame between nodes, in bytes. */
export const MAX_FRAME_BYTES = 1_048_576

const countSchema = z.int().min(0)

/** Lifecycle state of a node, as it announces it. */
export const endpointStateSchema = z.enum(['starting', 'serving', 'draining', 'left'])

/**
 * Record that a node announces about itself and its backend server.
 * A record of the same host with a higher (incarnation, sequence) supersedes it.
 */
export const endpointSchema = z.object({
  host: nameSchema,
  dataCentre: nameSchema,
  incarnation: countSchema,
  sequence: countSchema,
  state: endpointStateSchema,
  /** Absent for a node without a backend server. */
  service: nameSchema.optional(),
  version: nameSchema.optional(),
  slots: countSchema,
  /** Slots usable at present; fewer than `slots` during a cold start. Announced in coarse steps. */
  warmSlots: countSchema,
  requestAddress: z.string(),
  peerAddress: z.string(),
  adminAddress: z.string()
})

/** An operator's order to drain or restore a data centre or host. Per subject, the highest (number, id) wins. */
export const drainOrderSchema = z.object({
  subject: z.string().regex(/^(?:data-centre|host)\/[a-z0-9-]+$/, '"data-centre/NAME" or "host/NAME"'),
  action: z.enum(['drain', 'restore']),
  number: countSchema,
  id: z.string().min(1),
  operator: z.string(),
  /** Wall-clock milliseconds at the node that accepted the order. */
  issuedAt: z.number()
})

/** Fingerprint of a request that was in flight when a backend server crashed and may have caused the crash. */
export const crashSuspectSchema = z.object({
  fingerprint: z.string(),
  host: nameSchema,
  incarnation: countSchema,
  /** Distinguishes crashes on the same host. */
  crash: countSchema,
  observedAt: z.number()
})

/** Request statistics of one route and version in one data centre since the last report. Latencies in milliseconds. */
export const evidenceSchema = z.object({
  service: nameSchema,
  version: nameSchema,
  route: nameSchema,
  requests: countSchema,
  failures: countSchema,
  latencySum: z.number().min(0),
  /** Number of requests slower than the service's expected latency. */
  slow: countSchema
})

const configurationId = { version: countSchema, digest: z.string() }

/** A message between nodes. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    host: nameSchema,
    dataCentre: nameSchema,
    incarnation: countSchema,
    peerAddress: z.string(),
    scope: z.array(nameSchema),
    relay: z.boolean(),
    ...configurationId
  }),
  z.object({ kind: z.literal('heartbeat'), sequence: countSchema, version: countSchema }),
  z.object({ kind: z.literal('offer'), ...configurationId }),
  z.object({ kind: z.literal('fetch'), base: countSchema, scope: z.array(nameSchema), ...configurationId }),
  z.object({
    kind: z.literal('delta'),
    base: countSchema,
    ...configurationId,
    operationId: z.string(),
    author: z.string(),
    acceptedAt: z.number(),
    summary: z.string(),
    /** Digest of the receiver's scope of the configuration after the delta has been applied. */
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
  z.object({ kind: z.literal('silent'), host: nameSchema, incarnation: countSchema, sequence: countSchema }),
  z.object({ kind: z.literal('orders'), orders: z.array(drainOrderSchema) }),
  z.object({ kind: z.literal('suspects'), suspects: z.array(crashSuspectSchema) }),
  z.object({ kind: z.literal('evidence'), dataCentre: nameSchema, evidence: z.array(evidenceSchema) }),
  z.object({ kind: z.literal('rejected'), version: countSchema, reason: z.string() }),
  z.object({ kind: z.literal('subscribe') }),
  z.object({
    kind: z.literal('roster'),
    nodes: z.array(z.object({ version: countSchema, hosts: z.array(nameSchema) })),
    rejections: z.array(z.object({ host: nameSchema, reason: z.string() }))
  }),
  z.object({ kind: z.literal('reach'), dataCentres: z.array(nameSchema) })
])

/** Lifecycle state of a node. */
export type EndpointState = z.output<typeof endpointStateSchema>
/** Announced record of a node and its backend server. */
export type Endpoint = z.output<typeof endpointSchema>
/** An operator's order to drain or restore a data centre or host. */
export type DrainOrder = z.output<typeof drainOrderSchema>
/** Fingerprint of a request that may have crashed a backend server. */
export type CrashSuspect = z.output<typeof crashSuspectSchema>
/** Request statistics on which rollout decisions are based. */
export type Evidence = z.output<typeof evidenceSchema>
/** A message between nodes. */
export type PeerMessage = z.output<typeof peerMessageSchema>
