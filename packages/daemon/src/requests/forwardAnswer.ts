import type { IncomingMessage, ServerResponse } from 'node:http'
import { filterAnswerHeaders } from './filterHeaders.js'

/** Streams a body with back pressure; the caller handles its end. */
export function forwardBody (
  source: IncomingMessage, sink: { write: (chunk: Buffer) => boolean, once: (event: 'drain', listener: () => void) => unknown }
): void {
  source.on('data', (chunk: Buffer) => {
    if (sink.write(chunk)) return
    source.pause()
    sink.once('drain', () => source.resume())
  })
}

/**
 * Sends an answer on to the caller. An answer that ends before it is complete closes the caller's connection, because
 * a normal end would pass the part off as the whole. `onClose` is called once, with whether the answer was complete.
 */
export function forwardAnswer (
  answer: IncomingMessage, outgoing: ServerResponse, onClose: (complete: boolean) => void
): void {
  let ended = false
  outgoing.writeHead(answer.statusCode ?? 502, filterAnswerHeaders(answer.rawHeaders, answer.headers.connection))
  forwardBody(answer, outgoing)
  answer.on('end', () => {
    ended = answer.complete
    if (ended) outgoing.end()
  })
  answer.on('error', () => undefined)
  answer.on('close', () => {
    if (!ended) outgoing.destroy()
    onClose(ended)
  })
}
