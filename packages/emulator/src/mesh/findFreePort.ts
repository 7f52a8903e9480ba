import { createServer } from 'node:net'

/**
 * First port to try. The whole range lies below the kernel's ephemeral ports: an outgoing connection could occupy an
 * ephemeral port after the check and before the daemon binds it.
 */
const FIRST_PORT = 12_000
const PORT_COUNT = 20_000

const triedPorts = new Set<number>()

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => { server.close(() => resolve(true)) })
  })
}

/** Finds a free loopback port that this process has not tried before. */
export async function findFreePort (): Promise<number> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT)
    if (triedPorts.has(port)) continue
    triedPorts.add(port)
    if (await isFree(port)) return port
  }
}
