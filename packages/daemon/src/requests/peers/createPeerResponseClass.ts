import { type IncomingMessage, ServerResponse } from 'node:http'
import { HEADERS } from '@snipenotch/contracts'
import { readHeader } from '../readHeader.js'

type HeaderList = Array<string | number | string[]>
type HeaderRecord = NodeJS.Dict<string | number | readonly string[]>

/** A class of answers to forwarded requests that carry this node's load and the number of their request. */
export function createPeerResponseClass (formatLoad: () => string): typeof ServerResponse<IncomingMessage> {
  return class PeerResponse extends ServerResponse {
    /** The entry node adds a date if the backend server gave none. */
    override sendDate = false

    override writeHead (status: number, ...rest: unknown[]): this {
      const given = rest.find((part) => typeof part === 'object') as HeaderList | HeaderRecord | undefined
      const headers = Array.isArray(given) ? given : Object.entries(given ?? {}).flatMap(([name, value]) => [name, value ?? ''])
      // Answers of the home handler carry the load already; refusals by the peers handler do not.
      if (!headers.includes(HEADERS.load)) headers.push(HEADERS.load, formatLoad())
      const number = readHeader(this.req, HEADERS.request)
      if (number !== undefined) headers.push(HEADERS.request, number)
      return super.writeHead(status, headers as HeaderList)
    }
  }
}
