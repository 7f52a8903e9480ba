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
  backendDown: { number: 450, level: 'warn', text: 'backend server refuses connections' },
  backendUp: { number: 451, level: 'info', text: 'backend server accepts connections again' },
  requestsSuspected: { number: 452, level: 'warn', text: 'requests in flight at a crash of the backend server suspected' },
  limitReduced: { number: 453, level: 'warn', text: 'concurrency limit halved on evidence of overload' },
  keyAhead: { number: 454, level: 'warn', text: 'request key dated ahead of the clock of this host' },
  keyRecordsFull: { number: 455, level: 'error', text: 'records of request keys are full' },
  storeUnavailable: { number: 600, level: 'warn', text: 'platform store unavailable' },
  storeAvailable: { number: 601, level: 'info', text: 'platform store available again' }
} as const satisfies Record<string, EventDefinition>

export type EventName = keyof typeof EVENTS
