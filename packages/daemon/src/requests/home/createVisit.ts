import type { IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS, type Clock, type Milliseconds, type Outcome, type RefusalReason } from '@snipenotch/contracts'
import type { RecordedResponse } from '@snipenotch/decisions'
import type { Counters } from '../../observability/createCounters.js'
import type { HomeRequest, Refusal } from '../HomeHandler.js'

/** One request at the home node, from its arrival until it is answered, refused or abandoned by its caller. */
export interface Visit {
  readonly id: number
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly request: HomeRequest
  readonly arrivedAt: Milliseconds
  /** False once the visit has been answered or refused or its caller has disconnected. */
  readonly isOpen: () => boolean
  readonly refuse: (status: number, reason: RefusalReason, outcome: Outcome) => void
  readonly replay: (answer: RecordedResponse, headers: Readonly<Record<string, string>>) => void
  /** Ends the visit after a run has written the answer. */
  readonly end: () => void
}

export interface VisitListener {
  /** Called once when the visit is over, however it ended. */
  readonly onEnd: () => void
  /** The caller disconnected while the visit was open; called after `onEnd`. */
  readonly onDisconnect: (visit: Visit) => void
  /** The deadline has passed while the visit was open. */
  readonly onDeadline: (visit: Visit) => void
}

export type VisitInput = Pick<Visit, 'id' | 'incoming' | 'outgoing' | 'request'> & {
  readonly refuse: (refusal: Refusal) => void
}

/** Opens a visit and watches its deadline and its caller's connection. */
export function createVisit (input: VisitInput, clock: Clock, counters: Counters, listener: VisitListener): Visit {
  const { outgoing, request } = input
  let isOpen = true
  const remaining = Math.max(0, request.deadlineAt - clock.now())
  const timer = setTimeout(() => { if (isOpen) listener.onDeadline(visit) }, remaining)

  function end (): void {
    if (!isOpen) return
    isOpen = false
    clearTimeout(timer)
    outgoing.off('close', handleClose)
    listener.onEnd()
  }

  function handleClose (): void {
    if (!isOpen) return
    end()
    if (outgoing.writableFinished) return
    counters.count('requests', 'cancelled')
    listener.onDisconnect(visit)
  }

  const visit: Visit = {
    ...input,
    arrivedAt: clock.now(),
    isOpen: () => isOpen,
    refuse: (status, reason, outcome) => {
      if (!isOpen) return
      counters.count('refusals', reason)
      end()
      input.refuse({ status, reason, outcome })
    },
    replay: (answer, headers) => {
      if (!isOpen) return
      const { status, body, outcome } = answer
      const recorded = answer.headers as Record<string, string | string[]>
      outgoing.writeHead(status, { ...recorded, ...headers, [HEADERS.outcome]: outcome })
      outgoing.end(body)
      end()
    },
    end
  }
  outgoing.on('close', handleClose)
  return visit
}
