import { Err, Ok, type Result } from 'ts-results-es'
import { ObjectStore } from './ObjectStore.js'
import type { PlatformError } from './PlatformError.js'
import { createHttpClient, type HttpClient } from './createHttpClient.js'

/** Client of the object store's HTTP interface: `GET /objects/KEY` and `PUT /objects/KEY`. */
export class HttpObjectStore extends ObjectStore {
  readonly #send: HttpClient

  /** `timeoutMs` is the timeout of each request, in milliseconds. */
  constructor (address: string, timeoutMs: number) {
    super()
    this.#send = createHttpClient(address, timeoutMs)
  }

  override async read (key: string): Promise<Result<string | undefined, PlatformError>> {
    const response = await this.#send({ method: 'GET', path: `/objects/${encodeURIComponent(key)}` })
    if (response.isErr()) return response
    if (response.value.status === 404) return Ok(undefined)
    if (response.value.status !== 200) return Err({ kind: 'unavailable', detail: `HTTP status ${response.value.status}` })
    return Ok(response.value.body)
  }

  override async write (key: string, body: string): Promise<Result<void, PlatformError>> {
    const response = await this.#send({ method: 'PUT', path: `/objects/${encodeURIComponent(key)}`, body })
    if (response.isErr()) return response
    if (response.value.status !== 200) return Err({ kind: 'unavailable', detail: `HTTP status ${response.value.status}` })
    return Ok(undefined)
  }
}
