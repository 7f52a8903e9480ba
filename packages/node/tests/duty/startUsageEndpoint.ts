import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** A call as received by the endpoint. */
export interface ReceivedReport {
  readonly holder: string
  readonly token: number
  readonly window: number
  readonly text: string
}

/** A stand-in for the platform's endpoint for usage reports. */
export interface UsageEndpoint {
  readonly address: { readonly host: string, readonly port: number }
  readonly received: ReceivedReport[]
  /** Status of the following responses; undefined for the one that follows from the token. */
  status: number | undefined
  readonly close: () => void
}

/** Starts a stand-in that refuses tokens lower than the highest one seen. */
export async function startUsageEndpoint (): Promise<UsageEndpoint> {
  let highest = 0
  const server = createServer((incoming, response) => {
    let text = ''
    incoming.on('data', (chunk: Buffer) => { text += chunk.toString() })
    incoming.on('end', () => {
      const token = Number(incoming.headers['snipenotch-fencing-token'])
      const isWire = incoming.method === 'POST' && incoming.url === '/usage' && incoming.headers['content-type'] === 'application/json'
      const body = JSON.parse(text) as { 'window-number': number }
      endpoint.received.push({ holder: String(incoming.headers['snipenotch-duty-holder']), token, window: body['window-number'], text })
      const status = endpoint.status ?? (!isWire ? 400 : token < highest ? 409 : 200)
      highest = Math.max(highest, token)
      response.writeHead(status, { 'content-length': 0 }).end()
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const endpoint: UsageEndpoint = {
    address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    received: [],
    status: undefined,
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
  return endpoint
}
