import type { Milliseconds, ServingLoss, ServingRefusal } from '@snipenotch/contracts'
import type { QueueJob, ReportedLoad } from '@snipenotch/decisions'

/** A request for the backend server of one host, on its way there. */
export interface HomeJob extends QueueJob {
  /** Learned by the node of the backend server. */
  isInternal: boolean
  /** Identifies the caller's try. */
  readonly attemptId: string
  readonly service: string
  /** Service beside which the request began. */
  readonly callerService: string
  readonly idempotent: boolean
  readonly method: string
  readonly target: string
  /** End-to-end headers as a flat list. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly arrivedAt: Milliseconds
  /** Takes the right to send the request elsewhere, though its outcome here is unknown; false if it must wait. */
  readonly mayMove?: () => boolean
  /**
   * Set by whoever runs the job; ends it because its caller has left or this process stops. True if it certainly has
   * not run and will not.
   */
  cancel?: () => boolean
}

/** How a job ended at the node of its backend server. */
export type HomeOutcome = JobEnd & {
  /** Way to the other node and back in milliseconds; undefined if the job stayed on its host. */
  readonly transitMs?: number | undefined
}

type JobEnd =
  | {
    readonly kind: 'answered'
    readonly status: number
    /** End-to-end headers as a flat list. */
    readonly headers: readonly string[]
    readonly body: Buffer
    /** The backend server says that it did not run the request. */
    readonly notRun: boolean
    readonly load?: ReportedLoad | undefined
  }
  /** The request has not run and will not. `waitMs` is the time after which there may be room. */
  | { readonly kind: 'refused', readonly reason: ServingRefusal, readonly waitMs: number, readonly load?: ReportedLoad | undefined }
  /** It may have run. */
  | { readonly kind: 'lost', readonly reason: ServingLoss, readonly load?: ReportedLoad | undefined }

/** Lowest status that stands for a failure of the backend server. */
export const FIRST_FAILURE_STATUS = 500
