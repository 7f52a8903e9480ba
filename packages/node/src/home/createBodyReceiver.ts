import type { Clock, ServingRefusal } from '@snipenotch/contracts'
import { createBodyFetchScheduler, type OfferedBody } from '@snipenotch/decisions'

/** A body that another node holds for a request, with what has arrived of it. */
export interface IncomingBody extends OfferedBody {
  readonly parts: Buffer[]
  /** Asks the other node for the next bytes. */
  readonly request: (bytes: number) => void
  readonly onWhole: (body: Buffer) => void
  /** The body is not wanted any more, and the request has not run. */
  readonly onDropped: (reason: ServingRefusal) => void
}

/** Fetches the bodies that other nodes offer, at the pace of the own link. */
export interface BodyReceiver {
  /** Takes an offer; otherwise the time in milliseconds that the body would take, which is too long. */
  readonly offer: (body: IncomingBody) => number | undefined
  /** Takes a part; false if it was not asked for. */
  readonly receive: (body: IncomingBody, part: Buffer) => boolean
  readonly cancel: (body: IncomingBody) => void
  /** Drops all bodies, because their requests would not be taken. */
  readonly dropAll: (reason: ServingRefusal) => void
  /** Drops what is late and asks for more; called at intervals, as other nodes may be silent. */
  readonly update: () => void
  /** Time until all bodies here are whole, in milliseconds. */
  readonly getBacklogMs: () => number
  readonly count: () => number
}

/** Part of a request's time that its body may be expected to take; the rest is for its run. */
const FETCH_SHARE_OF_TIME_LEFT = 0.5

/** Creates a receiver for the host whose link carries `linkMbps` megabits a second. */
export function createBodyReceiver (clock: Clock, linkMbps: number): BodyReceiver {
  const intake = createBodyFetchScheduler<IncomingBody>(linkMbps)

  function update (): void {
    const now = clock.now()
    for (const body of intake.takeExpired(now)) body.onDropped('expired')
    for (const { body, bytes } of intake.takeGrants(now)) body.request(bytes)
  }

  return {
    update,
    offer: (body) => {
      const fetchMs = intake.computeFetchMs(body)
      if (fetchMs > (body.endAt - clock.now()) * FETCH_SHARE_OF_TIME_LEFT) return fetchMs
      intake.add(body)
      update()
      return undefined
    },
    receive: (body, part) => {
      const arrival = intake.recordArrival(body, part.length, clock.now())
      if (arrival === undefined) return false
      body.parts.push(part)
      if (arrival === 'whole') body.onWhole(Buffer.concat(body.parts))
      update()
      return true
    },
    cancel: (body) => {
      intake.remove(body)
      update()
    },
    dropAll: (reason) => { for (const body of intake.takeAll()) body.onDropped(reason) },
    getBacklogMs: () => intake.computeBacklogMs(),
    count: () => intake.count()
  }
}
