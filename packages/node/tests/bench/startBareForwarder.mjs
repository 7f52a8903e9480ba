// A minimal forwarder with Node's http client and server, as the reference of the request path benchmark.
// Arguments: port to listen on, port to forward to.
import { Agent, createServer, request } from 'node:http'

const [, , listenPort, targetPort] = process.argv
const agent = new Agent({ keepAlive: true, maxSockets: 64 })

createServer((incoming, response) => {
  const outgoing = request({
    agent, host: '127.0.0.1', port: Number(targetPort), method: incoming.method, path: incoming.url, headers: incoming.headers
  }, (answer) => {
    response.writeHead(answer.statusCode ?? 502, answer.rawHeaders)
    answer.pipe(response)
  })
  outgoing.on('error', () => { response.writeHead(502).end() })
  incoming.pipe(outgoing)
}).listen(Number(listenPort), '127.0.0.1')
