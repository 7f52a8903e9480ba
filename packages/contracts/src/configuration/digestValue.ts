import { createHash } from 'node:crypto'

/** Serializes a value as JSON with object keys sorted by code unit, so that equal values yield equal text. */
export function formatCanonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, nested: unknown) => {
    if (typeof nested !== 'object' || nested === null || Array.isArray(nested)) return nested
    const record = nested as Record<string, unknown>
    return Object.fromEntries(Object.keys(record).sort().map((key) => [key, record[key]]))
  })
}

/** Computes the SHA-256 digest of a value's canonical JSON, in hexadecimal. */
export function digestValue (value: unknown): string {
  return createHash('sha256').update(formatCanonicalJson(value)).digest('hex')
}
