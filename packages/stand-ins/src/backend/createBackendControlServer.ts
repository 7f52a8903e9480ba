import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { BackendServerStandIn } from '../createBackendServerStandIn.js'
import type { BackendServerSettingsInput } from './backendServerSettingsSchema.js'

async function readText (incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of incoming) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString('utf8')
}

/**
 * Creates an HTTP server that controls a backend server stand-in: `GET /state`, `GET /settings`, `PUT /settings` with
 * the settings to replace, `POST /drain`, `POST /cold` and `POST /crash`.
 */
export function createBackendControlServer (standIn: BackendServerStandIn): Server {
  async function handleCall (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const send = (status: number, body: unknown): void => {
      outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    }
    switch (`${incoming.method} ${incoming.url}`) {
      case 'GET /state': send(200, standIn.readState()); return
      case 'GET /settings': send(200, standIn.readSettings()); return
      case 'PUT /settings': {
        // A partial schema would set the absent settings to their defaults, so the body is not parsed with one.
        standIn.updateSettings(JSON.parse(await readText(incoming)) as BackendServerSettingsInput)
        send(200, standIn.readSettings())
        return
      }
      case 'POST /drain': standIn.drain(); send(200, standIn.readState()); return
      case 'POST /cold': standIn.resetToCold(); send(200, standIn.readState()); return
      case 'POST /crash':
        send(200, {})
        outgoing.on('finish', standIn.crash)
        return
      default: send(404, {})
    }
  }

  return createServer((incoming, outgoing) => {
    handleCall(incoming, outgoing).catch((error: unknown) => {
      outgoing.writeHead(400).end(String(error))
    })
  })
}
