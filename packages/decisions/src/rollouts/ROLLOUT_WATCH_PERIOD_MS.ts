/** Time for which a finished rollout is watched for faults that show late. */
export const ROLLOUT_WATCH_PERIOD_MS = 900_000
