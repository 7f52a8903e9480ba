/** Time for which a finished rollout is still monitored for faults that appear late, in milliseconds. */
export const ROLLOUT_WATCH_PERIOD_MS = 900_000
