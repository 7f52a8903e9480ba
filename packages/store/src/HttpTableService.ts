import { Err, Ok, type Result } from 'ts-results-es'
import * as z from 'zod'
import type { PlatformError } from './PlatformError.js'
import { createHttpCaller, type HttpAnswer, type HttpCaller } from './createHttpCaller.js'
import { type ListOptions, type Row, TableService, type Transaction } from './TableService.js'

const rowSchema = z.object({ key: z.string(), revision: z.int().min(1), value: z.unknown() })
const listSchema = z.object({ rows: z.array(rowSchema) })
const conflictSchema = z.object({ key: z.string(), found: z.int().min(0) })

function parseBody<Schema extends z.ZodType> (schema: Schema, body: string): Result<z.output<Schema>, PlatformError> {
  try {
    const parsed = schema.safeParse(JSON.parse(body))
    return parsed.success ? Ok(parsed.data) : Err({ kind: 'invalid', detail: parsed.error.message })
  } catch {
    return Err({ kind: 'invalid', detail: 'body is not JSON' })
  }
}

function describeStatus (answer: HttpAnswer): PlatformError {
  return { kind: 'unavailable', detail: `HTTP status ${answer.status}` }
}

/**
 * Table service over HTTP: `GET /rows/KEY`, `GET /rows?prefix=P&limit=N&reverse=1` and `POST /transactions`,
 * the last with status 409 and the first failed condition on a conflict.
 */
export class HttpTableService extends TableService {
  readonly #call: HttpCaller

  /** `timeoutMs` bounds each call in milliseconds. */
  constructor (address: string, timeoutMs: number) {
    super()
    this.#call = createHttpCaller(address, timeoutMs)
  }

  override async read (key: string): Promise<Result<Row | undefined, PlatformError>> {
    const answer = await this.#call({ method: 'GET', path: `/rows/${encodeURIComponent(key)}` })
    if (answer.isErr()) return answer
    if (answer.value.status === 404) return Ok(undefined)
    if (answer.value.status !== 200) return Err(describeStatus(answer.value))
    return parseBody(rowSchema, answer.value.body)
  }

  override async list (prefix: string, options: ListOptions = {}): Promise<Result<Row[], PlatformError>> {
    const query = new URLSearchParams({ prefix })
    if (options.limit !== undefined) query.set('limit', String(options.limit))
    if (options.reverse === true) query.set('reverse', '1')
    const answer = await this.#call({ method: 'GET', path: `/rows?${query.toString()}` })
    if (answer.isErr()) return answer
    if (answer.value.status !== 200) return Err(describeStatus(answer.value))
    return parseBody(listSchema, answer.value.body).map(({ rows }) => rows)
  }

  override async transact (transaction: Transaction): Promise<Result<void, PlatformError>> {
    const answer = await this.#call({ method: 'POST', path: '/transactions', body: JSON.stringify(transaction) })
    if (answer.isErr()) return answer
    if (answer.value.status === 409) {
      return parseBody(conflictSchema, answer.value.body).andThen((conflict) => Err({ kind: 'conflict' as const, ...conflict }))
    }
    if (answer.value.status !== 200) return Err(describeStatus(answer.value))
    return Ok(undefined)
  }
}
