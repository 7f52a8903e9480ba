import type { Server } from 'node:http'

/** Listens on a free loopback port and returns the address as `host:port`. */
export async function listenOnLoopback (server: Server): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(0, '127.0.0.1', resolve)
  })
  const address = server.address()
  if (typeof address !== 'object' || address === null) throw new Error('server is not bound to a TCP port')
  return `127.0.0.1:${address.port}`
}
