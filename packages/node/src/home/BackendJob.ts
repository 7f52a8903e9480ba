import type { Milliseconds, ServingLossReason, ServingRefusalReason } from '@snipenotch/contracts'
import type { EvidenceReport, QueueJob, ReportedLoad } from '@snipenotch/decisions'

/** A request to be run by the backend server of a chosen host. */
export interface BackendJob extends QueueJob {
  /** Determined by the node beside the backend server. */
  isInternal: boolean
  /** Identifier that the caller gave to this attempt; the response must repeat it. */
  readonly attemptId: string
  readonly service: string
  /** Name of the team whose key the request carried; undefined if it needs none. */
  readonly team?: string | undefined
  /** Service of the host on which the request entered the mesh. */
  readonly callerService: string
  readonly idempotent: boolean
  readonly method: string
  readonly target: string
  /** End-to-end headers as a flat list. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly arrivedAt: Milliseconds
  /** True if the node that forwards the request accepts the body of its response in parts. */
  readonly acceptsParts?: boolean | undefined
  /**
   * Takes permission to send the request to another host although its outcome at this one is unknown; false if the
   * outcome must be awaited.
   */
  readonly takeRetry?: () => boolean
  /**
   * Set by the component that runs the job. Cancels it because its caller has disconnected or this process is stopping;
   * true if the job certainly has not run and will not run.
   */
  cancel?: () => boolean
}

/** Outcome of a job, as reported by the node beside its backend server. */
export type JobOutcome = JobResult & {
  /** Network time to the other node and back, in milliseconds; undefined if the job was not forwarded. */
  readonly transitMs?: number | undefined
  /** Results of the backend server since the order of a running rollout of its service. */
  readonly evidence?: EvidenceReport | undefined
  /** True if the node of the backend server holds that only backend servers call the route. */
  readonly isInternal?: boolean | undefined
}

type JobResult =
  | {
    readonly kind: 'answered'
    readonly status: number
    /** End-to-end headers as a flat list. */
    readonly headers: readonly string[]
    readonly body: Buffer
    /** The backend server declared that it did not run the request. */
    readonly notRun: boolean
    readonly load?: ReportedLoad | undefined
  }
  /**
   * The request has not run and will not run. `waitMs` is the time in milliseconds after which capacity may be free, or
   * 0 if no such time is known.
   */
  | { readonly kind: 'refused', readonly reason: ServingRefusalReason, readonly waitMs: number, readonly load?: ReportedLoad | undefined }
  /** The request may have run, but its response did not arrive. */
  | { readonly kind: 'lost', readonly reason: ServingLossReason, readonly load?: ReportedLoad | undefined }

/** Lowest HTTP status that counts as a failure of the backend server. */
export const FIRST_FAILURE_STATUS = 500
