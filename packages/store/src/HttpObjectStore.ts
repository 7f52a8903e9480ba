import { Err, Ok, type Result } from 'ts-results-es'
import { ObjectStore } from './ObjectStore.js'
import type { PlatformError } from './PlatformError.js'
import { createHttpCaller, type HttpCaller } from './createHttpCaller.js'

/** Object store over HTTP: `GET /objects/KEY` and `PUT /objects/KEY`. */
export class HttpObjectStore extends ObjectStore {
  readonly #call: HttpCaller

  /** `timeoutMs` bounds each call in milliseconds. */
  constructor (address: string, timeoutMs: number) {
    super()
    this.#call = createHttpCaller(address, timeoutMs)
  }

  override async read (key: string): Promise<Result<string | undefined, PlatformError>> {
    const answer = await this.#call({ method: 'GET', path: `/objects/${encodeURIComponent(key)}` })
    if (answer.isErr()) return answer
    if (answer.value.status === 404) return Ok(undefined)
    if (answer.value.status !== 200) return Err({ kind: 'unavailable', detail: `HTTP status ${answer.value.status}` })
    return Ok(answer.value.body)
  }

  override async write (key: string, body: string): Promise<Result<void, PlatformError>> {
    const answer = await this.#call({ method: 'PUT', path: `/objects/${encodeURIComponent(key)}`, body })
    if (answer.isErr()) return answer
    if (answer.value.status !== 200) return Err({ kind: 'unavailable', detail: `HTTP status ${answer.value.status}` })
    return Ok(undefined)
  }
}
