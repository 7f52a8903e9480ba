import type { Milliseconds } from '@snipenotch/contracts'
import { createResponseScheduler, createResponseSizes, type ScheduledResponse } from '@snipenotch/decisions'
import type { NodeContext } from '../NodeContext.js'
import { isNarrowLink } from '../peers/isNarrowLink.js'
import { LARGE_BODY_BYTES } from '../peers/ForwardingMessage.js'
import type { BackendJob } from './BackendJob.js'

/** A large response body on its way to another node. */
export interface OutgoingResponse extends ScheduledResponse {
  readonly body: Buffer
  /** True while the connection has too many unsent bytes to take more. */
  readonly isBlocked: () => boolean
  /** Ends the connection, whose receiver has stopped reading. */
  readonly drop: () => void
  /** Sends a part of the body that is not the last one. */
  readonly sendPart: (part: Buffer) => void
  /** Sends the rest of the body, which ends the response. */
  readonly sendLast: (rest: Buffer) => void
}

/** Sends the response bodies of this host's backend server to other nodes, at the rate of the host's network link. */
export interface ResponseSender {
  readonly send: (response: OutgoingResponse) => void
  /** Drops a response that is no longer needed. */
  readonly cancel: (response: OutgoingResponse) => void
  /** Records a response whose body of `bytes` is sent at once. */
  readonly recordSent: (bytes: number) => void
  /** Records the size of a response body of `route`. */
  readonly recordSize: (route: string, bytes: number) => void
  /**
   * Returns the time in milliseconds after which the link may have room for the response to `job`, if that response
   * could not arrive before its deadline; undefined otherwise.
   */
  readonly findOverload: (job: Pick<BackendJob, 'route' | 'deadlineAt'>) => number | undefined
  /** Reserves the link for the response that a request of `route` will have; returns the reserved bytes. */
  readonly reserve: (route: string) => number
  /** Gives back reserved bytes. */
  readonly release: (bytes: number) => void
  /** Time until the link has sent everything that waits and the expected responses, in milliseconds. */
  readonly getBacklogMs: () => number
  /** Bytes that wait to be sent. */
  readonly countBytes: () => number
  readonly close: () => void
}

/** Share of a request's remaining time that its response may wait for the link; the rest is left for running it. */
const MAX_LINK_TIME_SHARE = 0.5
/** Size of the heads of a response, in bytes, as an estimate of what the link carries beside the body. */
const HEAD_BYTES = 300

/** Creates the sender of a host. */
export function createResponseSender ({ clock, settings }: Pick<NodeContext, 'clock' | 'settings'>): ResponseSender {
  const scheduler = createResponseScheduler<OutgoingResponse>(settings.linkMbps)
  const sizes = createResponseSizes()
  const offsets = new Map<OutgoingResponse, number>()
  const transferMsPerByte = settings.linkMbps > 0 ? 8 / (settings.linkMbps * 1000) : 0
  /** Expected bytes of the responses to requests that have no outcome yet. */
  let reservedBytes = 0
  const isNarrow = isNarrowLink(settings.linkMbps)
  let timer: NodeJS.Timeout | undefined

  const computeBacklogMs = (now: Milliseconds): number =>
    scheduler.computeBacklogMs(now) + reservedBytes * transferMsPerByte

  function update (): void {
    clearTimeout(timer)
    const now = clock.now()
    for (const { response, bytes, isLast } of scheduler.takeGrants(now, ({ isBlocked }) => isBlocked())) {
      const start = offsets.get(response) ?? 0
      const part = response.body.subarray(start, start + bytes)
      if (isLast) {
        offsets.delete(response)
        response.sendLast(part)
      } else {
        offsets.set(response, start + bytes)
        response.sendPart(part)
      }
    }
    for (const response of scheduler.takeStalled(now)) {
      offsets.delete(response)
      response.drop()
    }
    const delay = scheduler.computeDelay(now)
    timer = delay === undefined ? undefined : setTimeout(update, delay)
  }

  return {
    send: (response) => {
      scheduler.add(response)
      update()
    },
    cancel: (response) => {
      scheduler.remove(response)
      offsets.delete(response)
    },
    // On a wide link nothing is paced, so there is nothing to record.
    recordSent: (bytes) => { if (isNarrow) scheduler.recordSent(bytes + HEAD_BYTES, clock.now()) },
    recordSize: sizes.record,
    findOverload: ({ route, deadlineAt }) => {
      const bytes = isNarrow ? sizes.get(route) : 0
      if (bytes <= LARGE_BODY_BYTES) return undefined
      const now = clock.now()
      const backlogMs = computeBacklogMs(now)
      const limitMs = (deadlineAt - now) * MAX_LINK_TIME_SHARE
      return backlogMs + bytes * transferMsPerByte > limitMs ? backlogMs : undefined
    },
    reserve: (route) => {
      const bytes = isNarrow ? sizes.get(route) : 0
      if (bytes <= LARGE_BODY_BYTES) return 0
      reservedBytes += bytes
      return bytes
    },
    release: (bytes) => { reservedBytes = Math.max(0, reservedBytes - bytes) },
    getBacklogMs: () => computeBacklogMs(clock.now()),
    countBytes: scheduler.countBytes,
    close: () => { clearTimeout(timer) }
  }
}
