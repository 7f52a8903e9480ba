/** A host whose relay has received no message for this long is marked as silent (design, section 7). */
export const HEARTBEAT_TIMEOUT_MS = 2500

/** Gap between two events above which this process must have been paused; the I/O layer ticks every 250 ms. */
export const PAUSE_THRESHOLD_MS = 1500

/** Time for the hosts of a failed relay to detect the failure and to announce themselves to another relay. */
export const ORPHAN_TIMEOUT_MS = 2 * HEARTBEAT_TIMEOUT_MS

/** Interval between heartbeats on subscription links. */
export const HEARTBEAT_INTERVAL_MS = 1000
/** Nodes of each data centre that act as relays. */
export const RELAYS_PER_DATA_CENTRE = 3

/** Age below which a host does not displace an older relay, so that a mass restart does not move every relay twice. */
export const RELAY_MIN_AGE_MS = 10_000

/** Mean interval at which a relay reads the current configuration row. */
export const STORE_POLL_INTERVAL_MS = 500
/** Maximum store backoff. With 8 s, nodes took up to 7.7 s to recover after an outage; 4 s is allowed. */
export const MAX_STORE_BACKOFF_MS = 2000
/** Minimum interval between two writes of a relay's contact row. */
export const CONTACT_WRITE_INTERVAL_MS = 10_000
/** Interval at which accumulated evidence is sent. */
export const EVIDENCE_INTERVAL_MS = 1000
/** Time after which a configuration fetch is sent to another peer. */
export const FETCH_TIMEOUT_MS = 1000
/** Base of the exponential backoff between dials of one address. */
export const RECONNECT_BASE_MS = 100
/** Maximum backoff between dials of one address. */
export const MAX_RECONNECT_DELAY_MS = 2000

/** Time for which a quarantined fingerprint is refused after its last crash. */
export const QUARANTINE_MS = 60_000

/** Retention time of hosts that are not live, so that a delayed copy of their record does not restore them. */
export const TOMBSTONE_RETENTION_MS = 600_000

/** Configurations stored as bases for deltas. */
export const CONFIGURATION_HISTORY_SIZE = 8

/** Maximum number of links to other nodes. */
export const MAX_LINKS = 512
/** Maximum number of hosts in the endpoint table. */
export const MAX_ENDPOINTS = 16_384
/** Maximum number of subjects in the order register. */
export const MAX_ORDERS = 4096
/** Maximum number of fingerprints in the suspect register. */
export const MAX_SUSPECTS = 1024
/** Maximum number of accumulated evidence rows. */
export const MAX_EVIDENCE_ROWS = 4096
/** Maximum number of endpoint records in one message; keeps its frame well below 1 MiB. */
export const MAX_ENDPOINTS_PER_MESSAGE = 1000

/** Time after which an unreachable host is tried again; if it has failed, its relay marks it as silent sooner. */
export const UNREACHABLE_RETRY_MS = 5000

/** Interval between heartbeats on a standby link, which only keep it open. */
export const STANDBY_HEARTBEAT_INTERVAL_MS = 5000
/** Time for which a relay whose address could not be dialled is excluded from the ranking. */
export const RELAY_EXCLUSION_MS = 10_000
/** Delay after which the side with the higher name dials if the other has not; avoids two links for one pair. */
export const DIAL_TIEBREAK_DELAY_MS = 3000
/**
 * Interval at which a relay requests relay records from another data centre, so that separated groups of nodes in one
 * data centre discover each other.
 */
export const RELAY_DISCOVERY_INTERVAL_MS = 10_000
/** Interval at which relays are ranked again without a membership change, because hosts reach `RELAY_MIN_AGE_MS`. */
export const RELAY_RANKING_INTERVAL_MS = 2000
/** Maximum number of addresses whose dial failures are recorded. */
export const MAX_DIAL_FAILURE_RECORDS = 256
/** Interval at which a relay dials one address whose host is silent. */
export const PROBE_INTERVAL_MS = 5000
