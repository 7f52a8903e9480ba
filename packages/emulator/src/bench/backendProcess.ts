import { createServer } from 'node:http'

// Backend server in a separate process: responds to every request immediately with a small JSON body.
const BODY = Buffer.from(JSON.stringify({ status: 'running', driftMs: 3 }))

const server = createServer((incoming, outgoing) => {
  incoming.resume()
  outgoing.writeHead(200, { 'content-type': 'application/json', 'content-length': BODY.length }).end(BODY)
})
server.keepAliveTimeout = 60_000
server.listen(Number(process.argv[2]), '127.0.0.1', () => process.stdout.write('listening\n'))
