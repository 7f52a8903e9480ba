import { parse as parseToml, TomlError } from 'smol-toml'
import { Err, Ok, type Result } from 'ts-results-es'
import * as z from 'zod'
import type { Problem } from './Problem.js'
import { suggestName } from './suggestName.js'

function describeValue (value: unknown): string {
  if (value === undefined) return 'nothing'
  if (typeof value === 'string') return `"${value}"`
  if (value instanceof Date) return value.toISOString()
  if (Array.isArray(value)) return 'an array'
  if (typeof value === 'number' || typeof value === 'boolean' || typeof value === 'bigint') return String(value)
  return 'a table'
}

function findValue (root: unknown, path: readonly PropertyKey[]): unknown {
  let value = root
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return undefined
    value = (value as Record<PropertyKey, unknown>)[part]
  }
  return value
}

/** Lists the keys that a schema accepts at `path`, to suggest corrections of misspelled keys. */
function listKeys (schema: z.ZodType, path: readonly PropertyKey[]): string[] {
  let current: unknown = schema
  const unwrap = (wrapped: unknown): unknown => {
    let inner = wrapped
    while (inner instanceof z.ZodOptional || inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault) {
      inner = inner.unwrap()
    }
    return inner
  }
  for (const part of path) {
    current = unwrap(current)
    if (current instanceof z.ZodArray) current = current.element
    else if (current instanceof z.ZodObject) current = (current.shape as Record<PropertyKey, unknown>)[part]
  }
  current = unwrap(current)
  return current instanceof z.ZodObject ? Object.keys(current.shape) : []
}

function toProblems (file: string, schema: z.ZodType, input: unknown, issue: z.core.$ZodIssue): Problem[] {
  const key = issue.path.map(String).join('.')
  if (issue.code === 'unrecognized_keys') {
    const known = listKeys(schema, issue.path)
    return issue.keys.map((name) => {
      const suggestion = suggestName(name, known)
      const problem = {
        file,
        key: key === '' ? name : `${key}.${name}`,
        found: `unknown key "${name}"`,
        expected: `one of ${known.join(', ')}`
      }
      return suggestion === undefined ? problem : { ...problem, hint: `did you mean "${suggestion}"?` }
    })
  }
  const expected = issue.message.replace(/^(?:Invalid [^:]*|Too small|Too big): expected /, '').replace(/, received .*$/, '')
  return [{ file, key, found: describeValue(findValue(input, issue.path)), expected }]
}

/** Validates a value against a schema. Returns every validation error with its location in `file`. */
export function validateWithSchema<Schema extends z.ZodType> (
  schema: Schema, input: unknown, file: string
): Result<z.output<Schema>, Problem[]> {
  const parsed = schema.safeParse(input)
  if (parsed.success) return Ok(parsed.data)
  return Err(parsed.error.issues.flatMap((issue) => toProblems(file, schema, input, issue)))
}

function describeTomlError (error: unknown): string {
  if (!(error instanceof TomlError)) return String(error)
  const reason = error.message.split('\n')[0] ?? ''
  return `line ${error.line}, column ${error.column}: ${reason.replace(/^Invalid TOML document: /, '')}`
}

/** Parses TOML text and validates it against a schema. Returns a value only if the whole text is valid. */
export function parseTomlWithSchema<Schema extends z.ZodType> (
  schema: Schema, text: string, file: string
): Result<z.output<Schema>, Problem[]> {
  let input: unknown
  try {
    input = parseToml(text)
  } catch (error) {
    return Err([{ file, key: '', found: describeTomlError(error), expected: 'valid TOML' }])
  }
  return validateWithSchema(schema, input, file)
}
