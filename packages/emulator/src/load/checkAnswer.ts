import { buildFiller } from '@snipenotch/stand-ins'
import * as z from 'zod'
import type { BodyCheck } from './CallerRecord.js'

const answerHeadSchema = z.object({
  name: z.string(),
  version: z.string(),
  nonce: z.string().optional(),
  digest: z.string(),
  bytes: z.number(),
  filler: z.number()
})

/** What a caller knows about the answer that it awaits. */
export interface ExpectedAnswer {
  /** Nonces of the attempts that share the request's key; a replayed answer carries the first run's. */
  readonly nonces: readonly string[]
  /** SHA-256 of the body sent, in hexadecimal. */
  readonly digest: string
  readonly filler: number
}

export interface CheckedAnswer {
  readonly body: BodyCheck
  readonly server: string | undefined
  readonly version: string | undefined
}

function parseHead (line: string): z.output<typeof answerHeadSchema> | undefined {
  try {
    return answerHeadSchema.safeParse(JSON.parse(line)).data
  } catch {
    return undefined
  }
}

/** Checks a 200 answer of a backend server stand-in; `complete` says whether HTTP saw the whole body. */
export function checkAnswer (data: Buffer, complete: boolean, expected: ExpectedAnswer): CheckedAnswer {
  const split = data.indexOf('\n')
  const head = parseHead(data.subarray(0, split < 0 ? data.length : split).toString('utf8'))
  const told = { server: head?.name, version: head?.version }
  if (!complete) return { body: 'truncated', ...told }
  if (head === undefined) return { body: 'accepted-short', ...told }
  const nonce = head.nonce ?? ''
  if (!expected.nonces.includes(nonce)) return { body: 'crossed', ...told }
  const filler = split < 0 ? Buffer.alloc(0) : data.subarray(split + 1)
  if (filler.length < expected.filler) return { body: 'accepted-short', ...told }
  if (!filler.equals(buildFiller(nonce, expected.filler))) return { body: 'crossed', ...told }
  return { body: head.digest === expected.digest ? 'whole' : 'upload-differs', ...told }
}
