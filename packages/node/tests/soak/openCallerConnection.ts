import type { Duplex } from 'node:stream'

/** Complete response to a request. */
export interface CallerAnswer {
  readonly status: number
  /** Header fields by names in lower case. */
  readonly headers: ReadonlyMap<string, string>
  readonly body: string
}

/** Connection of a caller that may send a request before the answer to the last one, and may read late. */
export interface CallerConnection {
  /** Sends a request; `onEnd` gets its complete answer, undefined if the connection ended before. */
  readonly send: (request: string, onEnd: (answer: CallerAnswer | undefined) => void) => void
  readonly pause: () => void
  readonly resume: () => void
  /** Whether further requests can be answered. */
  readonly isOpen: () => boolean
  readonly countUnanswered: () => number
  readonly close: () => void
}

const HEAD_END = '\r\n\r\n'

/** Opens a connection over a stream. */
export function openCallerConnection (stream: Duplex): CallerConnection {
  const unanswered: Array<(answer: CallerAnswer | undefined) => void> = []
  let received = Buffer.alloc(0)
  let isOpen = true

  /** Takes the first response of the received bytes; undefined if it is not complete. */
  function takeAnswer (): CallerAnswer | undefined {
    const headEnd = received.indexOf(HEAD_END)
    if (headEnd < 0) return undefined
    const [statusLine = '', ...lines] = received.toString('latin1', 0, headEnd).split('\r\n')
    const headers = new Map(lines.map((line) => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
    }))
    const bodyStart = headEnd + HEAD_END.length
    const end = bodyStart + Number(headers.get('content-length') ?? NaN)
    if (Number.isNaN(end)) throw new Error(`response without a length: ${statusLine}`)
    if (received.length < end) return undefined
    const body = received.toString('utf8', bodyStart, end)
    received = received.subarray(end)
    return { status: Number(statusLine.split(' ')[1]), headers, body }
  }

  function end (): void {
    isOpen = false
    for (const onEnd of unanswered.splice(0)) onEnd(undefined)
  }

  stream.on('data', (bytes: Buffer) => {
    received = Buffer.concat([received, bytes])
    for (let answer = takeAnswer(); answer !== undefined; answer = takeAnswer()) {
      if (answer.headers.get('connection') === 'close') isOpen = false
      unanswered.shift()?.(answer)
    }
  })
  stream.on('end', () => {
    end()
    stream.end()
  })
  stream.on('error', end)
  stream.on('close', end)
  return {
    send: (request, onEnd) => {
      unanswered.push(onEnd)
      stream.write(request)
    },
    pause: () => { stream.pause() },
    resume: () => { stream.resume() },
    isOpen: () => isOpen,
    countUnanswered: () => unanswered.length,
    close: () => { stream.destroy() }
  }
}
