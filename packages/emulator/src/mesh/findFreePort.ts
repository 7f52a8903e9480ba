import { createServer } from 'node:net'

/**
 * Ports below the range that the kernel takes for outgoing connections; a released port of that range can be taken by
 * an outgoing connection before the daemon binds it.
 */
const FIRST_PORT = 12_000
const PORT_COUNT = 20_000

const issued = new Set<number>()

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => { server.close(() => resolve(true)) })
  })
}

/** Finds a free loopback port that this process has not returned before. */
export async function findFreePort (): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT)
    if (issued.has(port)) continue
    issued.add(port)
    if (await isFree(port)) return port
  }
}
