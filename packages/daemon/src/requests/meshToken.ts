import { createHmac, timingSafeEqual } from 'node:crypto'

/** Separates this use of the mesh secret from others. */
const LABEL = 'snipenotch forwarded request v1'

/** Proof, sent with each forwarded request, that the sender knows the mesh secret. */
export function signMeshToken (secret: string): string {
  return createHmac('sha256', secret).update(LABEL).digest('hex')
}

/** Creates a check of tokens that takes the same time for every wrong token of the right length. */
export function createTokenVerifier (secret: string): (token: string | undefined) => boolean {
  const expected = Buffer.from(signMeshToken(secret), 'latin1')
  const found = Buffer.alloc(expected.length)
  return (token) => {
    if (token?.length !== expected.length) return false
    found.write(token, 'latin1')
    return timingSafeEqual(found, expected)
  }
}
