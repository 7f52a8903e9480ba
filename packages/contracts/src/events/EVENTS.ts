/** Severity at which an event is logged. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** Number, severity and message text of a log event. */
export interface EventDefinition {
  readonly number: number
  readonly level: EventLevel
  readonly text: string
}

/**
 * Numbered log events: 1xx daemon, 2xx configuration, 3xx peers, 4xx requests, 5xx rollouts, 6xx store, 7xx operator
 * orders, 8xx nodes beside backend servers.
 * `docs/events.md` lists the same numbers and texts; CI verifies that both match.
 */
export const EVENTS = {
  daemonStarted: { number: 100, level: 'info', text: 'daemon started' },
  daemonStopping: { number: 101, level: 'info', text: 'daemon draining before shutdown' },
  daemonStopped: { number: 102, level: 'info', text: 'daemon stopped' },
  settingsInvalid: { number: 103, level: 'error', text: 'settings are invalid' },
  internalError: { number: 104, level: 'error', text: 'unexpected internal error' },
  uncaughtError: { number: 105, level: 'error', text: 'error outside the handling of any request or message; the process goes on' },
  configurationApplied: { number: 200, level: 'info', text: 'configuration applied' },
  configurationRejected: { number: 201, level: 'error', text: 'configuration rejected; the one in force stays' },
  configurationConflicting: { number: 202, level: 'error', text: 'configuration version seen with two digests; the one in force stays' },
  configurationCorrupt: { number: 203, level: 'warn', text: 'received configuration does not match its digest; fetching it again' },
  relayRoleChanged: { number: 300, level: 'info', text: 'relay role changed' },
  peerClosed: { number: 301, level: 'warn', text: 'connection to a peer closed for a fault' },
  hostSilent: { number: 302, level: 'warn', text: 'host silent; it gets no new work' },
  hostHeardAgain: { number: 303, level: 'info', text: 'silent host heard again' },
  pauseNoticed: { number: 304, level: 'warn', text: 'this process was paused; peers are given time before they are judged' },
  dataCentreUnreachable: { number: 305, level: 'warn', text: 'data centre unreachable; its hosts get no new work from here' },
  dataCentreReachable: { number: 306, level: 'info', text: 'data centre reachable again' },
  requestHeadMalformed: { number: 400, level: 'debug', text: 'request head malformed, oversized or late' },
  forwardedRequestUnauthenticated: { number: 401, level: 'warn', text: 'forwarded request without a valid token refused' },
  hostUnreachable: { number: 402, level: 'warn', text: 'connection to another host failed' },
  answerMismatched: { number: 403, level: 'error', text: 'answer belongs to another request; connection closed' },
  retryBudgetSpent: { number: 404, level: 'warn', text: 'retry budget of a service spent; failures reach callers' },
  drainStarted: { number: 405, level: 'info', text: 'request ports draining' },
  drainFinished: { number: 406, level: 'info', text: 'no request left in flight' },
  backendDown: { number: 450, level: 'warn', text: 'backend server refuses connections' },
  backendUp: { number: 451, level: 'info', text: 'backend server accepts connections again' },
  requestsSuspected: { number: 452, level: 'warn', text: 'requests in flight at a crash of the backend server suspected' },
  limitReduced: { number: 453, level: 'warn', text: 'concurrency limit halved on evidence of overload' },
  keyAhead: { number: 454, level: 'warn', text: 'request key dated ahead of the clock of this host' },
  keyRecordsFull: { number: 455, level: 'error', text: 'records of request keys are full' },
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
  storeAvailable: { number: 601, level: 'info', text: 'platform store available again' },
  storeRowInvalid: { number: 602, level: 'warn', text: 'row in the platform store has an unexpected form and was skipped' },
  orderTaken: { number: 700, level: 'info', text: 'operator order in effect' },
  orderStored: { number: 701, level: 'info', text: 'operator order stored in the table' },
  settingsReloaded: { number: 800, level: 'info', text: 'settings read again' },
  reportUnreadable: { number: 801, level: 'warn', text: 'status report unreadable or not from the backend server beside this node' },
  reportOutdated: { number: 802, level: 'info', text: 'status report older than what is known; ignored' },
  instanceChanged: { number: 803, level: 'info', text: 'state of the backend server changed' },
  instanceUnreachable: { number: 804, level: 'warn', text: 'backend server refuses connections; nothing is sent until it reports' },
  requestAnswered: { number: 805, level: 'info', text: 'request answered' },
  requestRefused: { number: 806, level: 'info', text: 'request refused; it has not run' },
  requestFailed: { number: 807, level: 'warn', text: 'request failed; it may have run' },
  requestResent: { number: 808, level: 'info', text: 'request sent to another backend server' },
  requestLeft: { number: 809, level: 'info', text: 'caller left before the answer' },
  tryEnded: { number: 810, level: 'info', text: 'request ended at the node of its backend server' },
  hostAvoided: { number: 811, level: 'warn', text: 'host does not answer; it gets no requests from here until it does' },
  hostReturned: { number: 812, level: 'info', text: 'host answers again' },
  rowUnreadable: { number: 813, level: 'warn', text: 'row unreadable; skipped' },
  tableRead: { number: 814, level: 'info', text: 'table read whole' },
  rowsFromPeer: { number: 815, level: 'info', text: 'rows taken from a peer' },
  recordWritten: { number: 816, level: 'info', text: 'record of this host written' },
  recordNotWritten: { number: 817, level: 'warn', text: 'record of this host not written; tried again' },
  evacuationsChanged: { number: 818, level: 'warn', text: 'evacuated data centres changed' },
  releaseChanged: { number: 819, level: 'info', text: 'release of a service changed' },
  versionCutOff: { number: 820, level: 'warn', text: 'version under rollout is worse; it gets no more requests from here' },
  instanceResumed: { number: 822, level: 'info', text: 'backend server probed after the start of this process' },
  readerChosen: { number: 824, level: 'info', text: 'host that reads the store for this one changed' },
  readerLost: { number: 825, level: 'warn', text: 'host that reads the store for this one brought nothing; another one is chosen' },
  linkMalformed: { number: 823, level: 'warn', text: 'frame between nodes unreadable; its connection was closed' },
  requestCut: { number: 826, level: 'warn', text: 'connection closed here before the answer' },
  callerMalformed: { number: 828, level: 'warn', text: 'bytes of a caller are no request; its connection ends behind the open answers' },
  coldChanged: { number: 829, level: 'info', text: 'backend server is cold, or warm again' },
  coldDoubted: { number: 830, level: 'info', text: 'backend server may have turned cold unseen; it is asked, and gets what a cold one bears' },
  leaveRecalled: { number: 831, level: 'info', text: 'an earlier process of this node acknowledged that the backend server leaves; it gets no requests' },
  instanceProbed: { number: 832, level: 'info', text: 'the backend server was asked, as one report is all that is known of it' },
  nodeLoad: { number: 827, level: 'info', text: 'load of this node' },
  peerRowsMissing: { number: 833, level: 'warn', text: 'a peer that was asked for rows sent none that can be read' },
  peerRowsMalformed: { number: 834, level: 'warn', text: 'response of the host that reads the store is malformed' },
  storeConnectionLost: { number: 835, level: 'warn', text: 'connection to the store ended without a response; the call is repeated on a new one' },
  backendCrashed: { number: 836, level: 'warn', text: 'backend server ended while it ran requests' },
  requestQuarantined: { number: 837, level: 'warn', text: 'request refused, as backend servers crashed while they ran it' },
  suspectCleared: { number: 838, level: 'info', text: 'request under suspicion answered; it is refused no more' },
  suspectReportMalformed: { number: 839, level: 'warn', text: 'report about requests that crash backend servers is malformed' },
  rolloutTraffic: { number: 840, level: 'info', text: 'requests sent from here to a version under rollout' },
  versionEvidence: { number: 841, level: 'info', text: 'results of the backend server beside this node during a rollout' },
  idleConnectionsClosed: { number: 842, level: 'info', text: 'idle connections of callers closed' },
  connectionsAbandoned: { number: 843, level: 'warn', text: 'connections of callers end with this process' },
  requestDiscarded: { number: 844, level: 'info', text: 'request behind the last response of its connection discarded; it has not run' },
  linesOmitted: { number: 821, level: 'info', text: 'log lines omitted to bound the volume' }
} as const satisfies Record<string, EventDefinition>

/** Name under which a log event is defined. */
export type EventName = keyof typeof EVENTS
