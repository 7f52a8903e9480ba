import type { Milliseconds } from '@snipenotch/contracts'

/** A run of a backend server whose leave was acknowledged at `leftAt`. */
export interface LeftRun {
  /** Start of the run in milliseconds since the Unix epoch; 0 while it is not known. */
  readonly startedAt: number
  readonly leftAt: Milliseconds
}

/** Remembers the runs that left, so that reports of them that arrive late make none of them serve again. */
export interface LeftRuns {
  /** Notes a leave; the first one of a run counts. */
  readonly record: (instance: string, startedAt: number, now: Milliseconds) => void
  /** The leave of a run; undefined if it has not left. A run whose leave named no start is taken for any. */
  readonly find: (instance: string, startedAt: number) => LeftRun | undefined
  /** True if a later run of the instance has left. */
  readonly isOutdated: (instance: string, startedAt: number) => boolean
}

/** Instances whose latest leave is remembered. */
const MAX_INSTANCES = 16

/** Creates a memory without leaves. */
export function createLeftRuns (): LeftRuns {
  const left = new Map<string, LeftRun>()

  function find (instance: string, startedAt: number): LeftRun | undefined {
    const known = left.get(instance)
    return known?.startedAt === startedAt || known?.startedAt === 0 ? known : undefined
  }

  return {
    record: (instance, startedAt, now) => {
      const leftAt = find(instance, startedAt)?.leftAt ?? now
      left.delete(instance)
      left.set(instance, { startedAt, leftAt })
      if (left.size > MAX_INSTANCES) left.delete(left.keys().next().value ?? '')
    },
    find,
    isOutdated: (instance, startedAt) => startedAt < (left.get(instance)?.startedAt ?? 0)
  }
}
