/** Latest plausible start of an instance, in milliseconds since the Unix epoch: the year 2100. */
export const MAX_STARTED_AT_MS = 4_102_444_800_000
/** Highest plausible sequence number of a report: a report each second for 68 years. */
export const MAX_SEQUENCE = 2_147_483_647
/** Highest plausible number of requests that a backend server runs concurrently. */
export const MAX_SLOTS = 100_000
/** Longest plausible duration of a cold phase, in milliseconds: one hour. */
export const MAX_COLD_MS = 3_600_000
