/** Levels at which an event is logged. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

export interface EventDefinition {
  readonly number: number
  readonly level: EventLevel
  readonly text: string
}

/**
 * Numbered log events. 1xx daemon, 2xx configuration, 3xx peers, 4xx requests, 5xx rollouts, 6xx store, 7xx orders.
 * `docs/events.md` lists the same numbers and texts; CI compares both.
 */
export const EVENTS = {
  daemonStarted: { number: 100, level: 'info', text: 'daemon started' },
  daemonStopping: { number: 101, level: 'info', text: 'daemon draining before shutdown' },
  daemonStopped: { number: 102, level: 'info', text: 'daemon stopped' },
  settingsInvalid: { number: 103, level: 'error', text: 'settings are invalid' },
  internalError: { number: 104, level: 'error', text: 'unexpected internal error' },
  configurationApplied: { number: 200, level: 'info', text: 'configuration applied' },
  configurationRejected: { number: 201, level: 'error', text: 'configuration rejected; the one in force stays' },
  leaseAcquired: { number: 500, level: 'info', text: 'lease acquired' },
  leaseLost: { number: 501, level: 'info', text: 'lease no longer held' },
  leaseNotWritten: { number: 502, level: 'warn', text: 'lease could not be written' },
  rolloutStepped: { number: 503, level: 'info', text: 'rollout step published' },
  rolloutFinished: { number: 504, level: 'info', text: 'rollout finished' },
  rolloutTakenBack: { number: 505, level: 'warn', text: 'rollout taken back' },
  rolloutHeld: { number: 506, level: 'info', text: 'rollout holds its shares' },
  rolloutStepFailed: { number: 507, level: 'warn', text: 'rollout step not published' },
  rolloutStepUsed: { number: 508, level: 'warn', text: 'rollout step number already used by an earlier rollout of the same id' },
  storeUnavailable: { number: 600, level: 'warn', text: 'platform store unavailable' },
  storeAvailable: { number: 601, level: 'info', text: 'platform store available again' }
} as const satisfies Record<string, EventDefinition>

export type EventName = keyof typeof EVENTS
