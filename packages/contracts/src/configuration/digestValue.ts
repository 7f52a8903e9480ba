import { createHash } from 'node:crypto'

/** JSON text with object keys in code-unit order, so that equal values have equal text. */
export function formatCanonicalJson (value: unknown): string {
  return JSON.stringify(value, (_key, inner: unknown) => {
    if (typeof inner !== 'object' || inner === null || Array.isArray(inner)) return inner
    const record = inner as Record<string, unknown>
    return Object.fromEntries(Object.keys(record).sort().map((key) => [key, record[key]]))
  })
}

/** SHA-256 of a value's canonical JSON, in hexadecimal. */
export function digestValue (value: unknown): string {
  return createHash('sha256').update(formatCanonicalJson(value)).digest('hex')
}
