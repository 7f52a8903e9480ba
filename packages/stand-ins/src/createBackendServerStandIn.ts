import { createServer, type Server } from 'node:http'

/** A request that the stand-in ran. */
export interface Run {
  readonly method: string
  readonly url: string
  readonly key: string | undefined
  readonly bytes: number
}

export interface BackendServerStandIn {
  readonly server: Server
  /** Every request run so far, in order of completion of its body. */
  readonly runs: Run[]
}

/** A backend server that answers each request with its name and counts its runs. */
export function createBackendServerStandIn (name: string): BackendServerStandIn {
  const runs: Run[] = []
  const server = createServer((incoming, outgoing) => {
    let bytes = 0
    incoming.on('data', (chunk: Buffer) => { bytes += chunk.length })
    incoming.on('end', () => {
      const { method = '', url = '' } = incoming
      const key = incoming.headers['idempotency-key']
      runs.push({ method, url, key: typeof key === 'string' ? key : undefined, bytes })
      outgoing.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ name, method, url, bytes }))
    })
  })
  return { server, runs }
}
