import { createServer } from 'node:http'

/** A backend server of its own process: answers every request at once with a small body. */
const BODY = Buffer.from(JSON.stringify({ status: 'running', driftMs: 3 }))

const server = createServer((incoming, outgoing) => {
  incoming.resume()
  outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': BODY.length }).end(BODY)
})
server.keepAliveTimeout = 60_000
server.listen(Number(process.argv[2]), '127.0.0.1', () => process.stdout.write('listening\n'))
