import type { IncomingMessage, ServerResponse } from 'node:http'
import { filterResponseHeaders } from './filterHeaders.js'

/** Streams a message body with back-pressure; the caller of this function handles the end of the body. */
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
 * Forwards a response to the caller. If the response is truncated, the caller's connection is closed, because a regular
 * end would make the truncated response look complete. `onClose` is called once and receives whether the response was
 * complete.
 */
export function forwardResponse (
  response: IncomingMessage, outgoing: ServerResponse, onClose: (complete: boolean) => void
): void {
  let ended = false
  outgoing.writeHead(
    response.statusCode ?? 502, filterResponseHeaders(response.rawHeaders, response.headers.connection)
  )
  forwardBody(response, outgoing)
  response.on('end', () => {
    ended = response.complete
    if (ended) outgoing.end()
  })
  response.on('error', () => undefined)
  response.on('close', () => {
    if (!ended) outgoing.destroy()
    onClose(ended)
  })
}
