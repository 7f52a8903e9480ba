import type { Milliseconds } from '@snipenotch/contracts'

/**
 * Recent use of a backend server by each team. Addresses one team with a high request rate, a team whose callers retry
 * at once, and many small teams: whoever has used least goes first, however many requests the others send.
 */
export interface TeamShares<Job extends TeamJob> {
  /** Charges a team for a request that starts and is expected to take `expectedMs` milliseconds. */
  readonly recordStart: (job: Job, expectedMs: number, now: Milliseconds) => void
  /** Replaces the expected time of a request by its actual one; undefined if that is unknown. */
  readonly recordEnd: (job: Job, durationMs: number | undefined) => void
  /** Negative if the team of `left` has used less than that of `right`, 0 for the same team. */
  readonly compare: (left: Job, right: Job) => number
  /** True if the team of the request has used more than the average team. */
  readonly isOverShare: (job: Job) => boolean
  /** Number of teams with recent use. */
  readonly countTeams: () => number
}

/** A request of a team; `team` is undefined for calls between services and requests on public routes. */
export interface TeamJob { readonly team?: string | undefined }

/**
 * Time constant of the decay of past use, in milliseconds: several times the deadline of a request, so that retries do
 * not escape it, and short enough for a team that was busy before to be served as the others again.
 */
const DECAY_MS = 4000
/** Interval at which past uses are scaled and idle teams dropped, as a multiple of the time constant. */
const RESCALE_DECAYS = 8
/** Use below which a team counts as idle, in milliseconds of backend time. */
const MIN_USE_MS = 0.1

/** Creates shares without any use. */
export function createTeamShares<Job extends TeamJob> (): TeamShares<Job> {
  /**
   * Use of each team in milliseconds as of `epoch`. Later use counts for more by the decay since `epoch`, so that the
   * uses of two teams are compared without computing the decay of either.
   */
  let uses = new Map<string, number>()
  let total = 0
  let epoch = -Infinity
  let weight = 1
  /** Expected times that the running requests were charged with. */
  const charges = new Map<Job, { readonly team: string, readonly expectedMs: number }>()

  function updateScale (now: Milliseconds): void {
    const factor = Math.exp((epoch - now) / DECAY_MS)
    const decayed = [...uses].map(([team, use]): [string, number] => [team, use * factor])
    uses = new Map(decayed.filter(([, use]) => use >= MIN_USE_MS))
    total = [...uses.values()].reduce((sum, use) => sum + use, 0)
    epoch = now
  }

  function addUse (team: string, durationMs: number): void {
    const before = uses.get(team) ?? 0
    const use = Math.max(0, before + durationMs * weight)
    uses.set(team, use)
    total += use - before
  }

  const getMean = (): number => uses.size === 0 ? 0 : total / uses.size
  /** Requests without a team rank as those of an average team: they are neither one team nor many. */
  const getUse = ({ team }: Job): number => team === undefined ? getMean() : uses.get(team) ?? 0

  return {
    recordStart: (job, expectedMs, now) => {
      const { team } = job
      if (team === undefined) return
      if (now - epoch > DECAY_MS * RESCALE_DECAYS) updateScale(now)
      weight = Math.exp((now - epoch) / DECAY_MS)
      charges.set(job, { team, expectedMs })
      addUse(team, expectedMs)
    },
    recordEnd: (job, durationMs) => {
      const charge = charges.get(job)
      if (charge === undefined) return
      charges.delete(job)
      if (durationMs !== undefined) addUse(charge.team, durationMs - charge.expectedMs)
    },
    compare: (left, right) => left.team === right.team ? 0 : getUse(left) - getUse(right),
    isOverShare: (job) => job.team !== undefined && getUse(job) > getMean(),
    countTeams: () => uses.size
  }
}
