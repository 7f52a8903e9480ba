/** Largest frame in bytes: the largest body that configurations of the users allow, with room for a batch of heads. */
const MAX_FRAME_BYTES = 64 * 1024 * 1024

/** Options of both ends of a link. */
export const WEBSOCKET_OPTIONS = {
  perMessageDeflate: false,
  maxPayload: MAX_FRAME_BYTES,
  skipUTF8Validation: true
} as const
