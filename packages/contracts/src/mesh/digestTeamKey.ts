import { createHash } from 'node:crypto'

/**
 * Computes the SHA-256 digest under which a team's key is stored and compared. `encoding` is `latin1` for text from an
 * HTTP head, in which each character stands for one byte.
 */
export function digestTeamKey (key: string, encoding: 'utf8' | 'latin1' = 'utf8'): string {
  return createHash('sha256').update(key, encoding).digest('base64url')
}
