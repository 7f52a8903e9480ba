import { createServer, type Server } from 'node:http'
import { WebSocketServer } from 'ws'
import type { NodeContext } from '../NodeContext.js'
import { LINK_OPTIONS } from '../peers/LINK_OPTIONS.js'
import type { RowVersions } from '../peers/LinkMessage.js'
import { type AcceptedLink, acceptLink } from './acceptLink.js'
import { createBodyReceiver } from './createBodyReceiver.js'
import type { Home } from './createHome.js'

/** Time between two looks at the links, in milliseconds. */
const CHECK_PERIOD_MS = 50

/** Takes requests of other nodes for the backend server beside this one. */
export interface HomeServer {
  readonly server: Server
  /** Bytes of outcomes that wait to be sent. */
  readonly countBacklog: () => number
  readonly close: () => void
}

/** Creates the server; `getVersions` tells the versions of this node's rows. */
export function createHomeServer (
  context: NodeContext, home: Pick<Home, 'run' | 'findRefusal' | 'getClosed' | 'getLoad'>,
  getVersions: () => RowVersions
): HomeServer {
  const { clock, settings, ticker } = context
  const links = new Set<AcceptedLink>()
  const receiver = createBodyReceiver(clock, settings.linkMbps)

  const server = createServer((_, response) => { response.writeHead(404, { 'content-length': 0 }).end() })
  const sockets = new WebSocketServer({ ...LINK_OPTIONS, server })
  sockets.on('connection', (socket, incoming) => {
    const peer = incoming.socket.remoteAddress ?? ''
    const link = acceptLink({
      context, home, receiver, getVersions, socket, peer, onClose: () => { links.delete(link) }
    })
    links.add(link)
  })
  const stopBeats = ticker.add(CHECK_PERIOD_MS, () => {
    const closed = home.getClosed()
    if (closed !== undefined) receiver.dropAll(closed)
    receiver.update()
    for (const link of links) link.sendBeat()
  })

  return {
    server,
    countBacklog: () => [...sockets.clients].reduce((sum, socket) => sum + socket.bufferedAmount, 0),
    close: () => {
      stopBeats()
      server.close()
      for (const socket of sockets.clients) socket.terminate()
    }
  }
}
