/**
 * Largest frame in bytes: the largest body that the users' configurations allow, plus room for a batch of request
 * heads.
 */
const MAX_FRAME_BYTES = 64 * 1024 * 1024

/** WebSocket options for both ends of a forwarding connection. */
export const WEBSOCKET_OPTIONS = {
  perMessageDeflate: false,
  maxPayload: MAX_FRAME_BYTES,
  skipUTF8Validation: true
} as const
