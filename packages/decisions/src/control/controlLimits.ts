/** A host that its relay has not heard for this long is marked silent (design, section 7). */
export const HEARTBEAT_TIMEOUT_MS = 2500

/** A gap between two inputs that only a pause of this process explains; the shell ticks every 250 ms. */
export const PAUSE_THRESHOLD_MS = 1500

/** Time for hosts of a lost relay to notice the loss and to announce themselves at another relay. */
export const ORPHAN_TIMEOUT_MS = 2 * HEARTBEAT_TIMEOUT_MS

export const HEARTBEAT_INTERVAL_MS = 1000
export const RELAYS_PER_DATA_CENTRE = 3

/** A host younger than this displaces no older relay, so that a herd restart does not move every relay twice. */
export const RELAY_MIN_AGE_MS = 10_000

export const STORE_POLL_INTERVAL_MS = 500
/** With 8 s, nodes needed up to 7.7 s after an outage; 4 s is allowed. */
export const MAX_STORE_BACKOFF_MS = 2000
export const CONTACT_WRITE_INTERVAL_MS = 10_000
export const EVIDENCE_INTERVAL_MS = 1000
export const FETCH_TIMEOUT_MS = 1000
export const RECONNECT_BASE_MS = 100
export const MAX_RECONNECT_DELAY_MS = 2000

/** Time that a refused fingerprint stays refused after its last crash. */
export const QUARANTINE_MS = 60_000

/** Dead hosts are remembered this long, so that a delayed copy of their record does not bring them back. */
export const TOMBSTONE_RETENTION_MS = 600_000

/** Configurations kept as bases for deltas. */
export const CONFIGURATION_HISTORY_SIZE = 8

export const MAX_LINKS = 512
export const MAX_ENDPOINTS = 16_384
export const MAX_ORDERS = 4096
export const MAX_SUSPECTS = 1024
export const MAX_EVIDENCE_ROWS = 4096
/** Endpoint records in one frame; keeps a frame well below 1 MiB. */
export const MAX_ENDPOINTS_PER_MESSAGE = 1000

/** A host to which a connection failed is tried again after this time; if it is dead, its relay says so sooner. */
export const UNREACHABLE_RETRY_MS = 5000

/** Heartbeats on a standby link, which only keep it open. */
export const STANDBY_HEARTBEAT_INTERVAL_MS = 5000
/** A relay address that could not be dialled is left out of the ranking for this long. */
export const RELAY_EXCLUSION_MS = 10_000
/** The side with the higher name dials only if the other has not done so by then; avoids two links for one pair. */
export const DIAL_TIEBREAK_DELAY_MS = 3000
/**
 * A relay asks another data centre for introductions this often, so that islands of one data centre
 * find each other.
 */
export const RELAY_DISCOVERY_INTERVAL_MS = 10_000
/** Ranking is repeated this often without a change of members, because hosts settle with time. */
export const RELAY_RANKING_INTERVAL_MS = 2000
/** Addresses whose dial failures are remembered. */
export const MAX_DIAL_FAILURE_RECORDS = 256
/** Interval at which a relay dials one address whose host counts as silent. */
export const PROBE_INTERVAL_MS = 5000
