import type { IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS, type Clock, type Milliseconds, type RunOutcome, type RefusalReason } from '@snipenotch/contracts'
import type { RecordedResponse } from '@snipenotch/decisions'
import type { Counters } from '../../observability/createCounters.js'
import type { HomeRequest, Refusal } from '../HomeHandler.js'

/** State of a request at the home node, from its arrival until it is answered, refused or cancelled by its caller. */
export interface HomeExchange {
  readonly id: number
  readonly incoming: IncomingMessage
  readonly outgoing: ServerResponse
  readonly request: HomeRequest
  readonly arrivedAt: Milliseconds
  /** Returns false once the request has been answered or refused, or its caller has disconnected. */
  readonly isOpen: () => boolean
  /** Refuses the request; does nothing if the exchange has ended. */
  readonly refuse: (status: number, reason: RefusalReason, outcome: RunOutcome) => void
  /** Sends a recorded response; does nothing if the exchange has ended. */
  readonly replay: (response: RecordedResponse, headers: Readonly<Record<string, string>>) => void
  /** Ends the exchange after a run has written the response. */
  readonly end: () => void
}

/** Callbacks of a home exchange. */
export interface HomeExchangeListener {
  /** Called once when the exchange ends for any reason. */
  readonly onEnd: () => void
  /** Called after `onEnd` if the caller disconnected while the exchange was open. */
  readonly onDisconnect: (exchange: HomeExchange) => void
  /** Called if the deadline passes while the exchange is open. */
  readonly onDeadline: (exchange: HomeExchange) => void
}

/** Parameters of a new home exchange. */
export type HomeExchangeInput = Pick<HomeExchange, 'id' | 'incoming' | 'outgoing' | 'request'> & {
  readonly refuse: (refusal: Refusal) => void
}

/** Opens an exchange and monitors its deadline and its caller's connection. */
export function createHomeExchange (
  input: HomeExchangeInput, clock: Clock, counters: Counters, listener: HomeExchangeListener
): HomeExchange {
  const { outgoing, request } = input
  let isOpen = true
  const remaining = Math.max(0, request.deadlineAt - clock.now())
  const timer = setTimeout(() => { if (isOpen) listener.onDeadline(exchange) }, remaining)

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
    listener.onDisconnect(exchange)
  }

  const exchange: HomeExchange = {
    ...input,
    arrivedAt: clock.now(),
    isOpen: () => isOpen,
    refuse: (status, reason, outcome) => {
      if (!isOpen) return
      counters.count('refusals', reason)
      end()
      input.refuse({ status, reason, outcome })
    },
    replay: (response, headers) => {
      if (!isOpen) return
      const { status, body, outcome } = response
      const recordedHeaders = response.headers as Record<string, string | string[]>
      outgoing.writeHead(status, { ...recordedHeaders, ...headers, [HEADERS.outcome]: outcome })
      outgoing.end(body)
      end()
    },
    end
  }
  outgoing.on('close', handleClose)
  return exchange
}
