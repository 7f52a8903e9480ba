import { request } from 'node:http'
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { closeAll, readRequestHeads, startTcpServer } from './fixtures.js'
import { BoundedKeepAliveAgent } from '../../src/requests/BoundedKeepAliveAgent.js'

describe('BoundedKeepAliveAgent', () => {
  afterEach(closeAll)

  function get (address: string, agent: BoundedKeepAliveAgent): Promise<string> {
    return new Promise((resolve, reject) => {
      request(`http://${address}/`, { agent }, (response) => {
        let text = ''
        response.on('data', (chunk: Buffer) => { text += chunk.toString() })
        response.on('end', () => { resolve(text) })
      }).on('error', reject).end()
    })
  }

  it('closes an idle connection that receives data (guards against a late response read as that of the next request)', async () => {
    const sockets: Socket[] = []
    const address = await startTcpServer((socket) => {
      sockets.push(socket)
      const name = String(sockets.length)
      readRequestHeads(socket, () => { socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${name}`) })
    })
    const agent = new BoundedKeepAliveAgent(4)
    expect(await get(address, agent)).to.equal('1')
    expect(await get(address, agent), 'reuses an idle connection without data').to.equal('1')
    sockets[0]?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale')
    await new Promise((resolve) => setTimeout(resolve, 50))
    expect(await get(address, agent)).to.equal('2')
    agent.destroy()
  })

  it('opens at most the maximum number of connections (guards against too many connections to one host)', async () => {
    let open = 0
    let most = 0
    const address = await startTcpServer((socket) => {
      most = Math.max(most, ++open)
      socket.on('close', () => { open-- })
      readRequestHeads(socket, () => setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'), 10))
    })
    const agent = new BoundedKeepAliveAgent(3)
    await Promise.all(Array.from({ length: 20 }, () => get(address, agent)))
    expect(most).to.equal(3)
    agent.destroy()
  })
})
