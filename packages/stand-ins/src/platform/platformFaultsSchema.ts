import * as z from 'zod'

export const platformPartSchema = z.enum(['table', 'objects'])

/** A stretch in which one part of the platform, or both, is slow. Times are milliseconds since the Unix epoch. */
export const slowStretchSchema = z.strictObject({
  from: z.number(),
  until: z.number(),
  delayMs: z.number().min(0),
  part: platformPartSchema.optional()
})

/** Loses the answers of the next `count` writes to one part whose keys begin with `prefix`. */
export const lostAnswerSchema = z.strictObject({
  part: platformPartSchema,
  prefix: z.string().default(''),
  count: z.int().min(1).default(1)
})

/** Faults that the platform stand-in can be told to show; all off by default. */
export const platformFaultsSchema = z.strictObject({
  /** Answers 503 to every call. */
  down: z.boolean(),
  /** Answers 503 to every call of one part. */
  tableDown: z.boolean(),
  objectsDown: z.boolean(),
  /** Time added before each answer, in milliseconds. */
  delayMs: z.number().min(0),
  /** Share of writes, in 0..1, that take effect but whose connection is cut before the answer. */
  loseAnswers: z.number().min(0).max(1),
  loseNext: z.array(lostAnswerSchema),
  slow: z.array(slowStretchSchema),
  /** Calls a second above which the stand-in answers 429; 0 for no limit. */
  callsPerSecond: z.int().min(0),
  /** The same, counted apart for reads and writes of both parts together. */
  readsPerSecond: z.int().min(0),
  writesPerSecond: z.int().min(0)
})

export type PlatformPart = z.output<typeof platformPartSchema>
export type PlatformFaults = z.output<typeof platformFaultsSchema>

/** Limits of the platform's real service: several hundred writes and about two thousand reads a second. */
export const PLATFORM_LIMITS = { readsPerSecond: 2000, writesPerSecond: 400 } as const

/** Returns the faults of a platform that is well. */
export function buildPlatformFaults (): PlatformFaults {
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

/** Time that a call of `part` waits before its answer, in milliseconds. */
export function computeDelay (faults: PlatformFaults, part: PlatformPart, now: number): number {
  const stretches = faults.slow.filter(({ from, until, part: slowPart }) =>
    now >= from && now < until && (slowPart === undefined || slowPart === part))
  return stretches.reduce((delay, stretch) => delay + stretch.delayMs, faults.delayMs)
}

/** Decides whether the answer of a write is lost, and uses up one of `loseNext` if so. */
export function takeLostAnswer (
  faults: PlatformFaults, part: PlatformPart, keys: readonly string[], draw: () => number
): boolean {
  const index = faults.loseNext.findIndex((lost) =>
    lost.part === part && keys.some((key) => key.startsWith(lost.prefix)))
  const lost = faults.loseNext[index]
  if (lost !== undefined) {
    lost.count -= 1
    if (lost.count === 0) faults.loseNext.splice(index, 1)
    return true
  }
  return draw() < faults.loseAnswers
}
