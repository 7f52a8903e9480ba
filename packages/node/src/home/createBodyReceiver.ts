import type { Clock, ServingRefusalReason } from '@snipenotch/contracts'
import { createBodyFetchScheduler, type OfferedBody } from '@snipenotch/decisions'

/** A request body that another node offers, with the chunks received so far. */
export interface IncomingBody extends OfferedBody {
  readonly parts: Buffer[]
  /** Requests the next `bytes` of the body from the other node. */
  readonly request: (bytes: number) => void
  readonly onComplete: (body: Buffer) => void
  /** Called if the body is no longer needed; its request has not run. */
  readonly onDropped: (reason: ServingRefusalReason) => void
}

/** Fetches request bodies from other nodes, at the rate that this host's network link sustains. */
export interface BodyReceiver {
  /**
   * Accepts an offered body and returns undefined; if fetching it would take too long, returns that time in
   * milliseconds.
   */
  readonly offer: (body: IncomingBody) => number | undefined
  /** Adds a received chunk; false if it was not requested. */
  readonly receive: (body: IncomingBody, part: Buffer) => boolean
  readonly cancel: (body: IncomingBody) => void
  /** Drops all bodies because their requests would be refused. */
  readonly dropAll: (reason: ServingRefusalReason) => void
  /** Drops expired bodies and requests more bytes. Called periodically, because other nodes may stop sending. */
  readonly update: () => void
  /** Estimated time until all accepted bodies are complete, in milliseconds. */
  readonly getBacklogMs: () => number
  /** Bodies that are being fetched. */
  readonly count: () => number
}

/** Largest share of a request's remaining time that fetching its body may take; the rest is left for running it. */
const MAX_FETCH_TIME_SHARE = 0.5

/** Creates a receiver for a host whose network link carries `linkMbps` megabits per second. */
export function createBodyReceiver (clock: Clock, linkMbps: number): BodyReceiver {
  const fetchScheduler = createBodyFetchScheduler<IncomingBody>(linkMbps)

  function update (): void {
    const now = clock.now()
    for (const body of fetchScheduler.takeExpired(now)) body.onDropped('expired')
    for (const { body, bytes } of fetchScheduler.takeGrants(now)) body.request(bytes)
  }

  return {
    update,
    offer: (body) => {
      const fetchMs = fetchScheduler.computeFetchMs(body)
      if (fetchMs > (body.deadlineAt - clock.now()) * MAX_FETCH_TIME_SHARE) return fetchMs
      fetchScheduler.add(body)
      update()
      return undefined
    },
    receive: (body, part) => {
      const arrival = fetchScheduler.recordArrival(body, part.length, clock.now())
      if (arrival === undefined) return false
      body.parts.push(part)
      if (arrival === 'whole') body.onComplete(Buffer.concat(body.parts))
      update()
      return true
    },
    cancel: (body) => {
      fetchScheduler.remove(body)
      update()
    },
    dropAll: (reason) => { for (const body of fetchScheduler.takeAll()) body.onDropped(reason) },
    getBacklogMs: () => fetchScheduler.computeBacklogMs(),
    count: () => fetchScheduler.count()
  }
}
