import { request } from 'node:http'
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { closeAll, onRequestHead, startTcp } from './fixtures.js'
import { GuardedAgent } from '../../src/requests/GuardedAgent.js'

describe('GuardedAgent', () => {
  afterEach(closeAll)

  function get (address: string, agent: GuardedAgent): Promise<string> {
    return new Promise((resolve, reject) => {
      request(`http://${address}/`, { agent }, (answer) => {
        let text = ''
        answer.on('data', (chunk: Buffer) => { text += chunk.toString() })
        answer.on('end', () => { resolve(text) })
      }).on('error', reject).end()
    })
  }

  it('drops a connection that speaks while idle (guards against a late answer given to the next request)', async () => {
    const sockets: Socket[] = []
    const address = await startTcp((socket) => {
      sockets.push(socket)
      const name = String(sockets.length)
      onRequestHead(socket, () => { socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n${name}`) })
    })
    const agent = new GuardedAgent(4)
    expect(await get(address, agent)).to.equal('1')
    expect(await get(address, agent), 'reuses a quiet connection').to.equal('1')
    sockets[0]?.write('HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale')
    await new Promise((resolve) => setTimeout(resolve, 50))
    expect(await get(address, agent)).to.equal('2')
    agent.destroy()
  })

  it('opens no more connections than its bound (guards against a flood towards one host)', async () => {
    let open = 0
    let most = 0
    const address = await startTcp((socket) => {
      most = Math.max(most, ++open)
      socket.on('close', () => { open-- })
      onRequestHead(socket, () => setTimeout(() => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'), 10))
    })
    const agent = new GuardedAgent(3)
    await Promise.all(Array.from({ length: 20 }, () => get(address, agent)))
    expect(most).to.equal(3)
    agent.destroy()
  })
})
