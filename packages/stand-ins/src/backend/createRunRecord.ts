import { runEventSchema, type RunEvent, type RunOutcome } from './runEventSchema.js'

/** A request that a stand-in ran. */
export interface Run {
  readonly id: string
  readonly server: string
  readonly method: string
  readonly url: string
  readonly key: string | undefined
  readonly nonce: string | undefined
  readonly digest: string
  readonly bytes: number
  outcome: RunOutcome | 'running' | 'crashed'
}

/** Runs of one or several servers; outlives the servers' processes. */
export interface RunRecord {
  /** In the order in which the runs began. */
  readonly runs: Run[]
  readonly refusals: Array<Extract<RunEvent, { event: 'refused' }>>
  readonly crashes: Array<Extract<RunEvent, { event: 'crash' }>>
  readonly add: (event: RunEvent) => void
  /** Adds the event on a line of a server's output; lines of any other kind are ignored. */
  readonly addLine: (line: string) => void
  /** Marks the unfinished runs of a server whose process has ended. */
  readonly endServer: (server: string) => void
  /** Number of runs by key; requests without a key are left out. */
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
  const open = new Map<string, Run>()
  const refusals: RunRecord['refusals'] = []
  const crashes: RunRecord['crashes'] = []

  function endServer (server: string): void {
    for (const [id, run] of open) {
      if (run.server !== server) continue
      run.outcome = 'crashed'
      open.delete(id)
    }
  }

  function add (event: RunEvent): void {
    switch (event.event) {
      case 'begin': {
        const { run: id, server, method, url, key, nonce, digest, bytes } = event
        const run: Run = { id, server, method, url, key, nonce, digest, bytes, outcome: 'running' }
        runs.push(run)
        open.set(id, run)
        return
      }
      case 'end': {
        const run = open.get(event.run)
        if (run !== undefined) run.outcome = event.outcome
        open.delete(event.run)
        return
      }
      case 'refused': refusals.push(event); return
      case 'crash':
        crashes.push(event)
        endServer(event.server)
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
    endServer,
    countByKey: () => {
      const counts = new Map<string, number>()
      for (const { key } of runs) if (key !== undefined) counts.set(key, (counts.get(key) ?? 0) + 1)
      return counts
    }
  }
}
