import { MAX_FRAME_BYTES, type PeerMessage, peerMessageSchema } from '@snipenotch/contracts'
import { Packr, Unpackr } from 'msgpackr'
import { Err, Ok, type Result } from 'ts-results-es'

/** Bytes that the WebSocket protocol adds to a frame: header, extended length and mask, rounded up. */
export const FRAME_OVERHEAD_BYTES = 8

/** Reason and details of a frame that cannot be decoded. */
export interface FrameError {
  readonly reason: 'frame-malformed' | 'frame-oversized' | 'message-invalid'
  readonly detail: string
}

/** Field names of each message kind, in schema order; frames contain the values without the names. */
const FIELDS_BY_KIND = peerMessageSchema.options.map(({ shape }) => Object.keys(shape).filter((field) => field !== 'kind'))
const KINDS: readonly string[] = peerMessageSchema.options.map(({ shape }) => shape.kind.value)

/** Objects of the same shape in a frame share one record definition; each frame can be decoded independently. */
const packr = new Packr({ useRecords: true, encodeUndefinedAsNil: false })
const unpackr = new Unpackr({ useRecords: true })

/** Encodes a message as the msgpack array `[kind, values...]`. */
export function encodeFrame (message: PeerMessage): Buffer {
  const kind = KINDS.indexOf(message.kind)
  const values = message as unknown as Record<string, unknown>
  return packr.pack([kind, ...(FIELDS_BY_KIND[kind] ?? []).map((field) => values[field])])
}

function decodeValues (data: Uint8Array): unknown[] | undefined {
  try {
    const decoded: unknown = unpackr.unpack(data)
    return Array.isArray(decoded) ? decoded : undefined
  } catch {
    return undefined
  }
}

/** Decodes a frame and validates it against the schema of its message kind. */
export function decodeFrame (data: Uint8Array): Result<PeerMessage, FrameError> {
  if (data.length > MAX_FRAME_BYTES) {
    return Err({ reason: 'frame-oversized', detail: `found ${data.length} bytes, expected at most ${MAX_FRAME_BYTES}` })
  }
  const values = decodeValues(data)
  if (values === undefined) return Err({ reason: 'frame-malformed', detail: 'found no msgpack array' })
  const [kind, ...rest] = values
  const fields = typeof kind === 'number' ? FIELDS_BY_KIND[kind] : undefined
  if (fields === undefined) return Err({ reason: 'message-invalid', detail: `found message kind ${String(kind)}` })
  const message = {
    kind: KINDS[kind as number],
    ...Object.fromEntries(fields.map((field, index) => [field,
      rest[index]]))
  }
  const parsed = peerMessageSchema.safeParse(message)
  return parsed.success ? Ok(parsed.data) : Err({ reason: 'message-invalid', detail: parsed.error.issues[0]?.message ?? '' })
}
