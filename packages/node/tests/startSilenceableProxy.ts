import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** Direction of bytes through the proxy. */
type Direction = 'to-server' | 'to-client'

/** Proxy that can go silent: connections stay open and new ones are accepted, and nothing passes in some directions. */
export interface SilenceableProxy {
  readonly address: { readonly host: string, readonly port: number }
  /** Drops all bytes of these directions from now on. */
  readonly silence: (directions?: readonly Direction[]) => void
  readonly restore: () => void
  /** Delays the bytes to the client from now on, in milliseconds. */
  readonly setDelay: (delayMs: number) => void
  /** Times, by `performance.now()`, of the requests that contained `text`. */
  readonly listRequests: (text: string) => readonly number[]
  readonly close: () => void
}

/** Starts a proxy on a free port of the loopback address. */
export async function startSilenceableProxy (target: SilenceableProxy['address']): Promise<SilenceableProxy> {
  const sockets = new Set<Socket>()
  const requests: Array<{ readonly text: string, readonly at: number }> = []
  let silenced: readonly Direction[] = []
  let delayMs = 0

  const server = createServer((client) => {
    const upstream = connect(target)
    for (const socket of [client, upstream]) {
      sockets.add(socket)
      socket.on('error', () => undefined)
      socket.once('close', () => { sockets.delete(socket) })
    }
    client.on('data', (bytes) => {
      if (silenced.includes('to-server')) return
      requests.push({ text: bytes.toString('latin1'), at: performance.now() })
      upstream.write(bytes)
    })
    upstream.on('data', (bytes) => {
      setTimeout(() => { if (!silenced.includes('to-client') && client.writable) client.write(bytes) }, delayMs)
    })
    client.once('close', () => { upstream.destroy() })
    upstream.once('close', () => { if (silenced.length === 0) setTimeout(() => { client.destroy() }, delayMs) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: { host: '127.0.0.1', port: (server.address() as AddressInfo).port },
    silence: (directions = ['to-server', 'to-client']) => { silenced = directions },
    restore: () => { silenced = [] },
    setDelay: (value) => { delayMs = value },
    listRequests: (text) => requests.filter((request) => request.text.includes(text)).map(({ at }) => at),
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
