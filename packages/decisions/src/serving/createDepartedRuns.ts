import type { Milliseconds } from '@snipenotch/contracts'

/** A run of a backend server whose leave message was acknowledged at `departedAt`. */
export interface DepartedRun {
  /** Start of the run in milliseconds since the Unix epoch; 0 if unknown. */
  readonly startedAt: number
  readonly departedAt: Milliseconds
}

/** Tracks the runs that have left, so that a delayed report cannot make one of them serve again. */
export interface DepartedRuns {
  /** Records the leave of a run; a repeated leave keeps the time of the first. */
  readonly record: (instance: string, startedAt: number, now: Milliseconds) => void
  /** Finds a run that has left; undefined otherwise. A leave without a start time matches any run of the instance. */
  readonly find: (instance: string, startedAt: number) => DepartedRun | undefined
  /** Returns whether a later run of the instance has left. */
  readonly isOutdated: (instance: string, startedAt: number) => boolean
}

/** Maximum number of instances whose latest leave is kept. */
const MAX_INSTANCES = 16

/** Creates an empty record. */
export function createDepartedRuns (): DepartedRuns {
  const runs = new Map<string, DepartedRun>()

  function find (instance: string, startedAt: number): DepartedRun | undefined {
    const latest = runs.get(instance)
    return latest?.startedAt === startedAt || latest?.startedAt === 0 ? latest : undefined
  }

  return {
    record: (instance, startedAt, now) => {
      const departedAt = find(instance, startedAt)?.departedAt ?? now
      runs.delete(instance)
      runs.set(instance, { startedAt, departedAt })
      if (runs.size > MAX_INSTANCES) runs.delete(runs.keys().next().value ?? '')
    },
    find,
    isOutdated: (instance, startedAt) => startedAt < (runs.get(instance)?.startedAt ?? 0)
  }
}
