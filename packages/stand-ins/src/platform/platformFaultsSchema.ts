import * as z from 'zod'

/** The two services of the platform: the table service and the object store. */
export const platformPartSchema = z.enum(['table', 'objects'])

/** A period in which one part of the platform, or both, is slow. Times are milliseconds since the Unix epoch. */
export const slowPeriodSchema = z.strictObject({
  from: z.number(),
  until: z.number(),
  delayMs: z.number().min(0),
  part: platformPartSchema.optional()
})

/** Drops the responses to the next `count` writes to one part whose keys begin with `prefix`. */
export const lostResponseSchema = z.strictObject({
  part: platformPartSchema,
  prefix: z.string().default(''),
  count: z.int().min(1).default(1)
})

/** Faults that the platform stand-in can inject; all are off by default. */
export const platformFaultsSchema = z.strictObject({
  /** Responds to every call with 503. */
  down: z.boolean(),
  /** Responds to every call of the table service, or of the object store, with 503. */
  tableDown: z.boolean(),
  objectsDown: z.boolean(),
  /** Delay before each response, in milliseconds. */
  delayMs: z.number().min(0),
  /** Share of writes, in 0..1, that take effect but whose connection is closed before the response. */
  loseAnswers: z.number().min(0).max(1),
  /** Chosen writes that take effect but whose responses are lost. */
  loseNext: z.array(lostResponseSchema),
  /** Periods with additional delay. */
  slow: z.array(slowPeriodSchema),
  /** Calls per second above which the stand-in responds with 429; 0 for no limit. */
  callsPerSecond: z.int().min(0),
  /** The same limit for reads and for writes alone, each summed over both parts. */
  readsPerSecond: z.int().min(0),
  writesPerSecond: z.int().min(0)
})

/** A service of the platform. */
export type PlatformPart = z.output<typeof platformPartSchema>
/** Faults that the platform stand-in injects. */
export type PlatformFaults = z.output<typeof platformFaultsSchema>

/** Rate limits of the real platform service: several hundred writes and about two thousand reads per second. */
export const PLATFORM_LIMITS = { readsPerSecond: 2000, writesPerSecond: 400 } as const

/** Returns the default settings, without any faults. */
export function buildDefaultPlatformFaults (): PlatformFaults {
  return {
    down: false,
    tableDown: false,
    objectsDown: false,
    delayMs: 0,
    loseAnswers: 0,
    loseNext: [],
    slow: [],
    callsPerSecond: 0,
    readsPerSecond: 0,
    writesPerSecond: 0
  }
}

/** Returns the delay before the response to a call of `part`, in milliseconds. */
export function computeDelay (faults: PlatformFaults, part: PlatformPart, now: number): number {
  const slowPeriods = faults.slow.filter(({ from, until, part: slowPart }) =>
    now >= from && now < until && (slowPart === undefined || slowPart === part))
  return slowPeriods.reduce((delay, period) => delay + period.delayMs, faults.delayMs)
}

/**
 * Decides whether the response to a write is lost: by the first match in `loseNext`, whose count it decrements, or else
 * by `loseAnswers`.
 */
export function takeLostResponse (
  faults: PlatformFaults, part: PlatformPart, keys: readonly string[], random: () => number
): boolean {
  const index = faults.loseNext.findIndex((lost) =>
    lost.part === part && keys.some((key) => key.startsWith(lost.prefix)))
  const lost = faults.loseNext[index]
  if (lost !== undefined) {
    lost.count -= 1
    if (lost.count === 0) faults.loseNext.splice(index, 1)
    return true
  }
  return random() < faults.loseAnswers
}
