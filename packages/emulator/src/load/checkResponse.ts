import { buildFiller } from '@snipenotch/stand-ins'
import * as z from 'zod'
import type { BodyCheck } from './CallerRecord.js'

const responseHeadSchema = z.object({
  name: z.string(),
  version: z.string(),
  nonce: z.string().optional(),
  digest: z.string(),
  bytes: z.number(),
  filler: z.number()
})

/** The response that a caller expects. */
export interface ExpectedResponse {
  /** Nonces of all attempts with the request's key: a replayed response carries the nonce of the attempt that ran. */
  readonly nonces: readonly string[]
  /** SHA-256 of the body sent, in hexadecimal. */
  readonly digest: string
  /** Length of the requested filler in bytes. */
  readonly filler: number
}

/** Result of {@link checkResponse}; `server` and `version` are undefined if the JSON line cannot be parsed. */
export interface CheckedResponse {
  readonly body: BodyCheck
  readonly server: string | undefined
  readonly version: string | undefined
}

function parseHead (line: string): z.output<typeof responseHeadSchema> | undefined {
  try {
    return responseHeadSchema.safeParse(JSON.parse(line)).data
  } catch {
    return undefined
  }
}

/**
 * Checks a response with status 200 of a backend server stand-in: a JSON line, then the filler if one was requested.
 * `complete` tells whether the body was complete for HTTP.
 */
export function checkResponse (data: Buffer, complete: boolean, expected: ExpectedResponse): CheckedResponse {
  const headEnd = data.indexOf('\n')
  const head = parseHead(data.subarray(0, headEnd < 0 ? data.length : headEnd).toString('utf8'))
  const serverInfo = { server: head?.name, version: head?.version }
  if (!complete) return { body: 'truncated', ...serverInfo }
  if (head === undefined) return { body: 'accepted-short', ...serverInfo }
  const nonce = head.nonce ?? ''
  if (!expected.nonces.includes(nonce)) return { body: 'crossed', ...serverInfo }
  const filler = headEnd < 0 ? Buffer.alloc(0) : data.subarray(headEnd + 1)
  if (filler.length < expected.filler) return { body: 'accepted-short', ...serverInfo }
  if (!filler.equals(buildFiller(nonce, expected.filler))) return { body: 'crossed', ...serverInfo }
  return { body: head.digest === expected.digest ? 'whole' : 'upload-differs', ...serverInfo }
}
