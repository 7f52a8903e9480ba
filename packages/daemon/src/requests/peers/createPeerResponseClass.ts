import { type IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS } from '@snipenotch/contracts'
import { readHeader } from '../readHeader.js'

type HeaderList = Array<string | number | string[]>
type HeaderMap = NodeJS.Dict<string | number | readonly string[]>

/** Creates a response class for forwarded requests that adds headers with this node's load and the request number. */
export function createPeerResponseClass (formatLoad: () => string): typeof ServerResponse<IncomingMessage> {
  return class PeerResponse extends ServerResponse {
    /** Disabled because the entry node adds a date if the backend server sent none. */
    override sendDate = false

    override writeHead (status: number, ...rest: unknown[]): this {
      const givenHeaders = rest.find((part) => typeof part === 'object') as HeaderList | HeaderMap | undefined
      const headers = Array.isArray(givenHeaders) ? givenHeaders : Object.entries(givenHeaders ?? {}).flatMap(([name, value]) => [name, value ?? ''])
      // Responses of the home handler contain the load already; refusals by the peer request handler do not.
      if (!headers.includes(HEADERS.load)) headers.push(HEADERS.load, formatLoad())
      const requestNumber = readHeader(this.req, HEADERS.request)
      if (requestNumber !== undefined) headers.push(HEADERS.request, requestNumber)
      return super.writeHead(status, headers as HeaderList)
    }
  }
}
