import * as z from 'zod'

export const directionSchema = z.enum(['to-server', 'to-client'])

/** What the proxy does to one connection; a rule with no settings passes everything. */
export const connectionRuleSchema = z.strictObject({
  /** Time that each chunk waits, in milliseconds; the order of chunks is kept. */
  delayMs: z.number().min(0).default(0),
  /** Resets both sides once this many bytes have gone in `direction`; the bytes up to then are delivered. */
  cut: z.strictObject({ direction: directionSchema, bytes: z.int().min(0) }).optional(),
  /** Delivers what the client sends, and resets the client when the server begins to answer. */
  dropAnswers: z.boolean().default(false),
  /** Accepts the connection and swallows everything; the server is never connected. */
  blackHole: z.boolean().default(false),
  /** Swallows the bytes of one direction while both sides stay connected. */
  lose: directionSchema.optional(),
  /** Resets the connection as soon as it is accepted. */
  refuse: z.boolean().default(false)
})

/** A rule and the share of connections that get it. */
export const weightedRuleSchema = z.strictObject({ share: z.number().min(0).max(1), rule: connectionRuleSchema })

export type Direction = z.output<typeof directionSchema>
export type ConnectionRule = z.output<typeof connectionRuleSchema>
export type ConnectionRuleInput = z.input<typeof connectionRuleSchema>
export type WeightedRule = z.output<typeof weightedRuleSchema>
export type WeightedRuleInput = z.input<typeof weightedRuleSchema>
