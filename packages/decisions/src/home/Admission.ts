import type { Milliseconds, Priority } from '@snipenotch/contracts'

/** A request that asks for a slot. */
export interface Entrant {
  readonly id: number
  readonly caller: string
  readonly priority: Priority
  readonly deadlineAt: Milliseconds
  /** True for a crash suspect, which runs while no other short request does. */
  readonly alone: boolean
}

export type AdmissionRefusal = 'queue-full' | 'deadline-passed' | 'caller-over-share'

/** A request to start now, or one to refuse before it has started. */
export type AdmissionAction =
  | { readonly kind: 'start', readonly id: number }
  | { readonly kind: 'refuse', readonly id: number, readonly reason: AdmissionRefusal }

export interface AdmissionLimits {
  /** Most requests running at once; 0 starts nothing. */
  readonly slots: number
  /** Most requests waiting at once. */
  readonly queue: number
}

/** Decides which requests run, wait or are refused. Each event returns the actions that it causes, in order. */
export interface Admission {
  /** Without an action for its id, the entrant waits. */
  readonly submit: (entrant: Entrant, now: Milliseconds) => AdmissionAction[]
  /** Ends a request that had started. */
  readonly release: (id: number, now: Milliseconds) => AdmissionAction[]
  /** Removes a request that waits; no effect on one that has started. */
  readonly cancel: (id: number, now: Milliseconds) => AdmissionAction[]
  readonly setLimits: (limits: AdmissionLimits, now: Milliseconds) => AdmissionAction[]
  /** Refuses what has waited past its deadline and starts what can start. */
  readonly expire: (now: Milliseconds) => AdmissionAction[]
  readonly count: () => { readonly running: number, readonly queued: number }
  /** Ids of all waiting requests. */
  readonly listWaiting: () => number[]
}
