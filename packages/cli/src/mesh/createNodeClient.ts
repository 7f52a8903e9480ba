import { Agent, request as sendRequest } from 'node:http'
import {
  contactRowSchema, explainResponseSchema, drainOrderSchema, parseSocketAddress, statusResponseSchema,
  type CliSettings, type ExplainResponse, type DrainOrder, type DrainOrderRequest, type StatusResponse
} from '@snipenotch/contracts'
import type { TableService } from '@snipenotch/store'
import { Err, Ok, type Result } from 'ts-results-es'
import type * as z from 'zod'
import type { CommandError } from '../CommandError.js'

const REQUEST_TIMEOUT_MS = 2000
const MAX_RESPONSE_BYTES = 16_777_216

/** Client for the admin API of the nodes. */
export interface NodeClient {
  /** Admin addresses from the contact rows and the settings, without duplicates. */
  readonly listContacts: () => Promise<string[]>
  /** Statuses of all contacts; fails with `no-node` if no contact returned a valid response with HTTP status 200. */
  readonly readStatuses: () => Promise<Result<StatusResponse[], CommandError>>
  /**
   * Asks the contacts in turn how they would route a request, until one returns a valid response with HTTP status 200;
   * fails with `no-node` if none does.
   */
  readonly explain: (method: string, path: string) => Promise<Result<ExplainResponse, CommandError>>
  /**
   * Submits the order to the contacts in turn until one returns a valid response with HTTP status 200; fails with
   * `no-node` if none does. A contact may have accepted the order although its response was lost. The order submitted
   * to the next one then has the same effect, but it may replace an order for the subject that was issued in between.
   */
  readonly submitOrder: (request: DrainOrderRequest) => Promise<Result<DrainOrder, CommandError>>
}

interface AdminRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
}

/** Creates a client that authenticates with the operators' secret from the settings. */
export function createNodeClient (settings: CliSettings, table: TableService): NodeClient {
  const agent = new Agent({ keepAlive: false })

  function send (address: string, request: AdminRequest): Promise<Result<{ status: number, body: string }, string>> {
    return new Promise((resolve) => {
      const headers = { authorization: `Bearer ${settings.secrets.operators}`, 'content-type': 'application/json' }
      const target = { ...parseSocketAddress(address), agent, method: request.method, path: request.path, headers }
      const outgoing = sendRequest(target, (incoming) => {
        let body = ''
        incoming.setEncoding('utf8')
        incoming.on('data', (chunk: string) => {
          body += chunk
          if (body.length > MAX_RESPONSE_BYTES) outgoing.destroy(new Error('response too large'))
        })
        incoming.on('error', (error) => resolve(Err(error.message)))
        incoming.on('end', () => resolve(Ok({ status: incoming.statusCode ?? 0, body })))
      })
      const timer = setTimeout(() => outgoing.destroy(new Error(`no response within ${REQUEST_TIMEOUT_MS} ms`)), REQUEST_TIMEOUT_MS)
      outgoing.on('error', (error) => resolve(Err(error.message)))
      outgoing.on('close', () => clearTimeout(timer))
      outgoing.end(request.body)
    })
  }

  async function fetchFromNode<Schema extends z.ZodType> (
    address: string, request: AdminRequest, schema: Schema
  ): Promise<Result<z.output<Schema>, string>> {
    const response = await send(address, request)
    if (response.isErr()) return Err(`${address}: ${response.error}`)
    if (response.value.status !== 200) return Err(`${address}: HTTP status ${response.value.status}: ${response.value.body}`)
    try {
      const parsed = schema.safeParse(JSON.parse(response.value.body))
      return parsed.success ? Ok(parsed.data) : Err(`${address}: response does not match the schema: ${parsed.error.message}`)
    } catch {
      return Err(`${address}: response is not JSON`)
    }
  }

  async function listContacts (): Promise<string[]> {
    const rows = await table.list('contact/')
    const tableAddresses = rows.isErr()
      ? []
      : rows.value.flatMap((row) => {
        const contact = contactRowSchema.safeParse(row.value)
        return contact.success ? [contact.data.adminAddress] : []
      })
    return [...new Set([...tableAddresses, ...settings.contacts])]
  }

  async function fetchFromAny<Schema extends z.ZodType> (
    request: AdminRequest, schema: Schema
  ): Promise<Result<z.output<Schema>, CommandError>> {
    const failures: string[] = []
    for (const address of await listContacts()) {
      const response = await fetchFromNode(address, request, schema)
      if (response.isOk()) return response
      failures.push(response.error)
    }
    return Err({ kind: 'no-node', detail: `no node responded: ${failures.join('; ') || 'no contacts known'}` })
  }

  return {
    listContacts,
    readStatuses: async () => {
      const contacts = await listContacts()
      const responses = await Promise.all(contacts.map((address) =>
        fetchFromNode(address, { method: 'GET', path: '/status' }, statusResponseSchema)))
      const statuses = responses.flatMap((response) => response.isOk() ? [response.value] : [])
      if (statuses.length > 0) return Ok(statuses)
      const failures = responses.flatMap((response) => response.isErr() ? [response.error] : [])
      return Err({ kind: 'no-node', detail: `no node responded: ${failures.join('; ') || 'no contacts known'}` })
    },
    explain: (method, path) =>
      fetchFromAny({ method: 'GET', path: `/explain?${new URLSearchParams({ method, path }).toString()}` }, explainResponseSchema),
    submitOrder: (request) =>
      fetchFromAny({ method: 'POST', path: '/orders', body: JSON.stringify(request) }, drainOrderSchema)
  }
}
