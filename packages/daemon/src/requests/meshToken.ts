import { createHmac, timingSafeEqual } from 'node:crypto'

/** Domain separation: the HMAC input that distinguishes this use of the mesh secret from others. */
const TOKEN_LABEL = 'snipenotch forwarded request v1'

/**
 * Returns the token, sent with each forwarded request, that proves knowledge of the mesh secret; HMAC-SHA256 in
 * hexadecimal.
 */
export function signMeshToken (secret: string): string {
  return createHmac('sha256', secret).update(TOKEN_LABEL).digest('hex')
}

/** Creates a token verifier that compares tokens of the expected length in constant time. */
export function createTokenVerifier (secret: string): (token: string | undefined) => boolean {
  const expected = Buffer.from(signMeshToken(secret), 'latin1')
  const received = Buffer.alloc(expected.length)
  return (token) => {
    if (token?.length !== expected.length) return false
    received.write(token, 'latin1')
    return timingSafeEqual(received, expected)
  }
}
