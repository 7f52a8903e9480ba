import { Err, Ok, type Result } from 'ts-results-es'
import * as z from 'zod'
import type { PlatformError } from './PlatformError.js'
import { createHttpClient, type HttpResponse, type HttpClient } from './createHttpClient.js'
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

function describeStatus (response: HttpResponse): PlatformError {
  return { kind: 'unavailable', detail: `HTTP status ${response.status}` }
}

/**
 * Client of the table service's HTTP interface: `GET /rows/KEY`, `GET /rows?prefix=P&limit=N&reverse=1` and
 * `POST /transactions`. On a conflict, the latter responds with status 409 and the first condition that failed.
 */
export class HttpTableService extends TableService {
  readonly #send: HttpClient

  /** `timeoutMs` is the timeout of each request, in milliseconds. */
  constructor (address: string, timeoutMs: number) {
    super()
    this.#send = createHttpClient(address, timeoutMs)
  }

  override async read (key: string): Promise<Result<Row | undefined, PlatformError>> {
    const response = await this.#send({ method: 'GET', path: `/rows/${encodeURIComponent(key)}` })
    if (response.isErr()) return response
    if (response.value.status === 404) return Ok(undefined)
    if (response.value.status !== 200) return Err(describeStatus(response.value))
    return parseBody(rowSchema, response.value.body)
  }

  override async list (prefix: string, options: ListOptions = {}): Promise<Result<Row[], PlatformError>> {
    const query = new URLSearchParams({ prefix })
    if (options.limit !== undefined) query.set('limit', String(options.limit))
    if (options.reverse === true) query.set('reverse', '1')
    const response = await this.#send({ method: 'GET', path: `/rows?${query.toString()}` })
    if (response.isErr()) return response
    if (response.value.status !== 200) return Err(describeStatus(response.value))
    return parseBody(listSchema, response.value.body).map(({ rows }) => rows)
  }

  override async transact (transaction: Transaction): Promise<Result<void, PlatformError>> {
    const response = await this.#send({ method: 'POST', path: '/transactions', body: JSON.stringify(transaction) })
    if (response.isErr()) return response
    if (response.value.status === 409) {
      return parseBody(conflictSchema, response.value.body).andThen((conflict) => Err({ kind: 'conflict' as const, ...conflict }))
    }
    if (response.value.status !== 200) return Err(describeStatus(response.value))
    return Ok(undefined)
  }
}
