import { expect } from 'chai'
import { signMeshToken } from '../../../src/requests/meshToken.js'
import { closeAll, createTestMesh, describeRefusal, MESH_SECRET, send, startHttpServer, startNode } from '../fixtures.js'

describe('createPeerRequestHandler', () => {
  afterEach(closeAll)

  const token = signMeshToken(MESH_SECRET)
  const key = `a.1.1.${'0'.repeat(32)}`
  const cases: Array<[string, Record<string, string>, string]> = [
    ['no token', { 'snipenotch-route': 'lookup' }, '401 unknown unauthenticated'],
    ['a wrong token', { 'snipenotch-token': token.replace(/.$/, 'z'), 'snipenotch-route': 'lookup' }, '401 unknown unauthenticated'],
    ['an unknown route', { 'snipenotch-token': token, 'snipenotch-route': 'other' }, '404 not-run no-route'],
    ['an unknown route with a key', { 'snipenotch-token': token, 'snipenotch-route': 'other', 'idempotency-key': key }, '404 unknown no-route'],
    ['no key', { 'snipenotch-token': token, 'snipenotch-route': 'order' }, '400 not-run key-required']
  ]
  for (const [name, headers, expected] of cases) {
    it(`${name}: ${expected} (guards against unauthorised requests and a false not-run outcome)`, async () => {
      const mesh = createTestMesh()
      let runs = 0
      const node = await startNode(mesh, 'a', await startHttpServer((_incoming, outgoing) => { runs++; outgoing.end('ok') }))
      expect(describeRefusal(await send(node.peers, 'GET', '/clocks', headers))).to.equal(expected)
      expect(runs).to.equal(0)
    })
  }

  it('runs an authenticated request and adds load and request number (guards against responses that match no request)', async () => {
    const mesh = createTestMesh()
    const node = await startNode(mesh, 'a', await startHttpServer((_incoming, outgoing) => outgoing.end('ok')))
    const response = await send(node.peers, 'GET', '/clocks', {
      'snipenotch-token': token, 'snipenotch-route': 'lookup', 'snipenotch-request': '17'
    })
    expect(response.body).to.equal('ok')
    expect(response.headers['snipenotch-request']).to.equal('17')
    expect(response.headers['snipenotch-load']).to.match(/^\d+,\d+,\d+$/)
  })
})
