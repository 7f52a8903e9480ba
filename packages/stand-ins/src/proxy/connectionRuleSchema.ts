import * as z from 'zod'

/** Direction of the bytes on a connection. */
export const directionSchema = z.enum(['to-server', 'to-client'])

/** Faults that the proxy injects into one connection; a rule without settings forwards everything unchanged. */
export const connectionRuleSchema = z.strictObject({
  /** Delay of each chunk, in milliseconds; the order of chunks is kept. */
  delayMs: z.number().min(0).default(0),
  /** Cuts the connection after `bytes` delivered bytes in `direction`: ends the receiver, resets the sender. */
  cut: z.strictObject({ direction: directionSchema, bytes: z.int().min(0) }).optional(),
  /** Delivers what the client sends, and resets both sides as soon as the server responds. */
  dropAnswers: z.boolean().default(false),
  /** Accepts the connection and discards all data, without connecting to the server. */
  blackHole: z.boolean().default(false),
  /** Discards the bytes of one direction while both sides stay connected. */
  lose: directionSchema.optional(),
  /** Resets the connection as soon as it is accepted. */
  refuse: z.boolean().default(false)
})

/** A rule and the share of connections that it applies to, in 0..1. */
export const weightedRuleSchema = z.strictObject({ share: z.number().min(0).max(1), rule: connectionRuleSchema })

/** Direction of the bytes on a connection. */
export type Direction = z.output<typeof directionSchema>
/** Faults of one connection, with defaults applied. */
export type ConnectionRule = z.output<typeof connectionRuleSchema>
/** Faults of one connection; absent settings get their defaults. */
export type ConnectionRuleInput = z.input<typeof connectionRuleSchema>
/** A rule with its share of connections, with defaults applied. */
export type WeightedRule = z.output<typeof weightedRuleSchema>
/** A rule with its share of connections; absent settings get their defaults. */
export type WeightedRuleInput = z.input<typeof weightedRuleSchema>
