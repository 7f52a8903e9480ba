import type { Clock, EventName } from '@snipenotch/contracts'
import type { Counters, EventLog } from '@snipenotch/daemon'

/** Maximum number of lines per event and second; further lines are counted and reported in one line. */
export const MAX_LINES_PER_SECOND = 25
const PERIOD_MS = 1000

/**
 * Creates a log that limits the number of lines of each event to `getMaxLines()` per second, so that the log volume
 * stays bounded under load.
 */
export function createRateLimitedLog (
  log: EventLog, counters: Counters, clock: Clock, getMaxLines: () => number = () => MAX_LINES_PER_SECOND
): EventLog {
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
    if (lines < getMaxLines()) {
      written.set(name, lines + 1)
      log(name, fields)
      return
    }
    omitted.set(name, (omitted.get(name) ?? 0) + 1)
    counters.count('log_lines', 'omitted')
  }
}
