import type { Clock, EventName } from '@snipenotch/contracts'
import type { Counters, EventLog } from '@snipenotch/daemon'

/** Lines of one event written in a second; more are counted and summed up in one line. */
const MAX_LINES_PER_SECOND = 25
const PERIOD_MS = 1000

/** Limits the lines of each event, so that the volume of a log stays bounded under load. */
export function createBoundedLog (log: EventLog, counters: Counters, clock: Clock): EventLog {
  const written = new Map<EventName, number>()
  const omitted = new Map<EventName, number>()
  let periodEndsAt = clock.now() + PERIOD_MS

  function beginPeriod (): void {
    for (const [name, count] of omitted) log('linesOmitted', { name, omitted: count })
    written.clear()
    omitted.clear()
    periodEndsAt = clock.now() + PERIOD_MS
  }

  return (name, fields) => {
    if (clock.now() >= periodEndsAt) beginPeriod()
    const lines = written.get(name) ?? 0
    if (lines < MAX_LINES_PER_SECOND) {
      written.set(name, lines + 1)
      log(name, fields)
      return
    }
    omitted.set(name, (omitted.get(name) ?? 0) + 1)
    counters.count('log_lines', 'omitted')
  }
}
