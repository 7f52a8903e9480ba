import { Agent, request as sendHttp } from 'node:http'
import {
  contactRowSchema, explainResponseSchema, drainOrderSchema, parseSocketAddress, statusResponseSchema,
  type CliSettings, type ExplainResponse, type DrainOrder, type DrainOrderRequest, type StatusResponse
} from '@snipenotch/contracts'
import type { TableService } from '@snipenotch/store'
import { Err, Ok, type Result } from 'ts-results-es'
import type * as z from 'zod'
import type { CommandError } from '../CommandError.js'

const CALL_TIMEOUT_MS = 2000
const MAX_ANSWER_BYTES = 16_777_216

/** Calls the admin ports of the nodes. */
export interface NodeClient {
  /** Admin addresses from the contact rows and the settings, without doubles. */
  readonly listContacts: () => Promise<string[]>
  /** Reports of all contacts that answered. */
  readonly readStatuses: () => Promise<Result<StatusResponse[], CommandError>>
  readonly explain: (method: string, path: string) => Promise<Result<ExplainResponse, CommandError>>
  /** Hands the order to the first contact that takes it. */
  readonly submitOrder: (request: DrainOrderRequest) => Promise<Result<DrainOrder, CommandError>>
}

interface Call {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: string
}

/** Creates a client that authenticates with the operators' secret. */
export function createNodeClient (settings: CliSettings, table: TableService): NodeClient {
  const agent = new Agent({ keepAlive: false })

  function send (address: string, call: Call): Promise<Result<{ status: number, body: string }, string>> {
    return new Promise((resolve) => {
      const headers = { authorization: `Bearer ${settings.secrets.operators}`, 'content-type': 'application/json' }
      const target = { ...parseSocketAddress(address), agent, method: call.method, path: call.path, headers }
      const outgoing = sendHttp(target, (incoming) => {
        let body = ''
        incoming.setEncoding('utf8')
        incoming.on('data', (chunk: string) => {
          body += chunk
          if (body.length > MAX_ANSWER_BYTES) outgoing.destroy(new Error('answer too large'))
        })
        incoming.on('error', (error) => resolve(Err(error.message)))
        incoming.on('end', () => resolve(Ok({ status: incoming.statusCode ?? 0, body })))
      })
      const timer = setTimeout(() => outgoing.destroy(new Error(`no answer within ${CALL_TIMEOUT_MS} ms`)), CALL_TIMEOUT_MS)
      outgoing.on('error', (error) => resolve(Err(error.message)))
      outgoing.on('close', () => clearTimeout(timer))
      outgoing.end(call.body)
    })
  }

  async function fetchFrom<Schema extends z.ZodType> (
    address: string, call: Call, schema: Schema
  ): Promise<Result<z.output<Schema>, string>> {
    const answer = await send(address, call)
    if (answer.isErr()) return Err(`${address}: ${answer.error}`)
    if (answer.value.status !== 200) return Err(`${address}: HTTP status ${answer.value.status}: ${answer.value.body}`)
    try {
      const parsed = schema.safeParse(JSON.parse(answer.value.body))
      return parsed.success ? Ok(parsed.data) : Err(`${address}: answer does not fit: ${parsed.error.message}`)
    } catch {
      return Err(`${address}: answer is not JSON`)
    }
  }

  async function listContacts (): Promise<string[]> {
    const rows = await table.list('contact/')
    const fromTable = rows.isErr()
      ? []
      : rows.value.flatMap((row) => {
        const contact = contactRowSchema.safeParse(row.value)
        return contact.success ? [contact.data.adminAddress] : []
      })
    return [...new Set([...fromTable, ...settings.contacts])]
  }

  async function fetchFromAny<Schema extends z.ZodType> (
    call: Call, schema: Schema
  ): Promise<Result<z.output<Schema>, CommandError>> {
    const failures: string[] = []
    for (const address of await listContacts()) {
      const answer = await fetchFrom(address, call, schema)
      if (answer.isOk()) return answer
      failures.push(answer.error)
    }
    return Err({ kind: 'no-node', detail: `no node answered: ${failures.join('; ') || 'no contacts known'}` })
  }

  return {
    listContacts,
    readStatuses: async () => {
      const contacts = await listContacts()
      const answers = await Promise.all(contacts.map((address) =>
        fetchFrom(address, { method: 'GET', path: '/status' }, statusResponseSchema)))
      const statuses = answers.flatMap((answer) => answer.isOk() ? [answer.value] : [])
      if (statuses.length > 0) return Ok(statuses)
      const failures = answers.flatMap((answer) => answer.isErr() ? [answer.error] : [])
      return Err({ kind: 'no-node', detail: `no node answered: ${failures.join('; ') || 'no contacts known'}` })
    },
    explain: (method, path) =>
      fetchFromAny({ method: 'GET', path: `/explain?${new URLSearchParams({ method, path }).toString()}` }, explainResponseSchema),
    submitOrder: (request) =>
      fetchFromAny({ method: 'POST', path: '/orders', body: JSON.stringify(request) }, drainOrderSchema)
  }
}
