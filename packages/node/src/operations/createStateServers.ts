import { createServer, type Server } from 'node:http'

/** Servers that tell the platform and the operators about the state of a node. */
export interface StateServers {
  readonly readiness: Server
  readonly metrics: Server
}

/** Creates the servers; they do not listen yet. */
export function createStateServers (isReady: () => boolean, formatMetrics: () => string): StateServers {
  return {
    readiness: createServer((_, response) => {
      response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end()
    }),
    metrics: createServer((_, response) => {
      response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(formatMetrics())
    })
  }
}
