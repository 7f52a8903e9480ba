import { runEventSchema, type RunEvent, type BackendRunOutcome } from './runEventSchema.js'

/** A request that a backend server stand-in has run. */
export interface Run {
  readonly id: string
  readonly server: string
  readonly method: string
  readonly url: string
  readonly key: string | undefined
  readonly nonce: string | undefined
  readonly digest: string
  readonly bytes: number
  outcome: BackendRunOutcome | 'running' | 'crashed'
}

/** Runs of one or several backend servers; kept when their processes end. */
export interface RunRecord {
  /** Runs in the order in which they started. */
  readonly runs: Run[]
  readonly refusals: Array<Extract<RunEvent, { event: 'refused' }>>
  readonly crashes: Array<Extract<RunEvent, { event: 'crash' }>>
  readonly add: (event: RunEvent) => void
  /** Adds the event from a line of a server's output; ignores lines that are not events. */
  readonly addLine: (line: string) => void
  /** Marks the unfinished runs of a server whose process has ended as crashed. */
  readonly markServerCrashed: (server: string) => void
  /** Counts runs by idempotency key; requests without a key are left out. */
  readonly countByKey: () => Map<string, number>
}

function parseEvent (line: string): RunEvent | undefined {
  try {
    return runEventSchema.safeParse(JSON.parse(line)).data
  } catch {
    return undefined
  }
}

/** Creates an empty record. */
export function createRunRecord (): RunRecord {
  const runs: Run[] = []
  const unfinishedRuns = new Map<string, Run>()
  const refusals: RunRecord['refusals'] = []
  const crashes: RunRecord['crashes'] = []

  function markServerCrashed (server: string): void {
    for (const [id, run] of unfinishedRuns) {
      if (run.server !== server) continue
      run.outcome = 'crashed'
      unfinishedRuns.delete(id)
    }
  }

  function add (event: RunEvent): void {
    switch (event.event) {
      case 'begin': {
        const { run: id, server, method, url, key, nonce, digest, bytes } = event
        const run: Run = { id, server, method, url, key, nonce, digest, bytes, outcome: 'running' }
        runs.push(run)
        unfinishedRuns.set(id, run)
        return
      }
      case 'end': {
        const run = unfinishedRuns.get(event.run)
        if (run !== undefined) run.outcome = event.outcome
        unfinishedRuns.delete(event.run)
        return
      }
      case 'refused': refusals.push(event); return
      case 'crash':
        crashes.push(event)
        markServerCrashed(event.server)
    }
  }

  return {
    runs,
    refusals,
    crashes,
    add,
    addLine: (line) => {
      const event = parseEvent(line)
      if (event !== undefined) add(event)
    },
    markServerCrashed,
    countByKey: () => {
      const counts = new Map<string, number>()
      for (const { key } of runs) if (key !== undefined) counts.set(key, (counts.get(key) ?? 0) + 1)
      return counts
    }
  }
}
