import { parseRequestKey } from '@snipenotch/contracts'
import { expect } from 'chai'
import {
  addEndpoint, closeAll, createTestMesh, describeRefusal, send, startHttpServer, startNode, type TestMesh, type TestNode
} from '../fixtures.js'

describe('createEntryHandler', () => {
  let mesh: TestMesh
  let node: TestNode
  let runs: Array<Record<string, unknown>>

  beforeEach(async () => {
    mesh = createTestMesh()
    runs = []
    node = await startNode(mesh, 'a', await startHttpServer((incoming, outgoing) => {
      runs.push({ ...incoming.headers })
      outgoing.end('ok')
    }))
    addEndpoint(mesh, 'other-service', '127.0.0.1:1', { service: 'parts' })
    addEndpoint(mesh, 'left', '127.0.0.1:1', { state: 'left' })
  })
  afterEach(closeAll)

  const createKeyText = (host: string, incarnation = 1): string => `${host}.${incarnation}.1.${'0'.repeat(32)}`
  const refusals: Array<[string, string, string, string | undefined, string]> = [
    ['an unknown path', 'GET', '/none', undefined, '404 not-run no-route'],
    ['an unknown path with a key', 'POST', '/none', createKeyText('a'), '404 unknown no-route'],
    ['a method without a route', 'DELETE', '/clocks', undefined, '405 not-run method-not-routed'],
    ['a method without a route, with a key', 'DELETE', '/clocks', createKeyText('a'), '405 unknown method-not-routed'],
    ['no key', 'POST', '/orders', undefined, '428 not-run key-required'],
    ['a malformed key', 'POST', '/orders', 'a.1', '400 unknown key-malformed'],
    ['a key of an unknown home', 'POST', '/orders', createKeyText('nobody'), '409 unknown key-home-gone'],
    ['a key of an earlier incarnation', 'POST', '/orders', createKeyText('a', 0), '409 unknown key-home-gone'],
    ['a key of a home that left', 'POST', '/orders', createKeyText('left'), '409 unknown key-home-gone'],
    ['a key of a home of another service', 'POST', '/orders', createKeyText('other-service'), '409 unknown key-mismatch']
  ]
  for (const [name, method, path, key, expected] of refusals) {
    it(`${name}: ${expected} (guards against a duplicate run and a false outcome)`, async () => {
      const response = await send(node.requests, method, path, key === undefined ? {} : { 'idempotency-key': key })
      expect(describeRefusal(response)).to.equal(expected)
      expect(response.body).to.not.equal('')
      const reason = response.headers['snipenotch-reason'] as 'no-route'
      expect(node.context.counters.read('refusals', reason)).to.equal(1)
      expect(runs).to.have.length(0)
    })
  }

  it('refuses requests without a configuration, with outcome unknown if keyed (guards against a false not-run after a restart)', async () => {
    mesh.configuration = undefined
    expect(describeRefusal(await send(node.requests, 'GET', '/clocks'))).to.equal('503 not-run no-configuration')
    const keyed = await send(node.requests, 'POST', '/orders', { 'idempotency-key': createKeyText('a') })
    expect(describeRefusal(keyed)).to.equal('503 unknown no-configuration')
  })

  it('refuses requests without a serving host (guards against requests that never complete)', async () => {
    mesh.endpoints.delete('a')
    expect(describeRefusal(await send(node.requests, 'GET', '/clocks'))).to.equal('503 not-run no-backend-server')
  })

  it('refuses a request whose deadline has passed (guards against work with no one waiting)', async () => {
    const response = await send(node.requests, 'GET', '/clocks', { 'snipenotch-deadline-ms': '0' })
    expect(describeRefusal(response)).to.equal('504 not-run deadline-passed')
    expect(runs).to.have.length(0)
  })

  it('issues a key that names a live home and runs requests with it (guards against keys that no host accepts)', async () => {
    const refused = await send(node.requests, 'POST', '/orders')
    const given = JSON.parse((await send(node.requests, 'GET', '/.snipenotch/key?method=POST&path=/orders/1')).body) as { key: string }
    for (const text of [refused.headers['snipenotch-key'] as string, given.key]) {
      expect(parseRequestKey(text)).to.include({ host: 'a', incarnation: 1 })
      expect((await send(node.requests, 'POST', '/orders', { 'idempotency-key': text }, 'x')).status).to.equal(200)
    }
    expect(runs.map((headers) => headers['content-length'])).to.deep.equal(['1', '1'])
  })

  it('removes forged control headers from requests to the backend server (guards against callers that impersonate a node)', async () => {
    await send(node.requests, 'GET', '/clocks', {
      'snipenotch-token': 'x', 'snipenotch-route': 'order', 'snipenotch-caller': 'erp', 'snipenotch-attempt': '1'
    })
    expect(runs[0]).to.include({ 'snipenotch-caller': 'erp', 'snipenotch-attempt': '1' })
    expect(runs[0]).to.not.have.any.keys('snipenotch-token', 'snipenotch-route')
  })

  it('explains the routing decision without sending a request (guards against an explanation that differs from routing)', () => {
    const explanation = node.plane.explain('GET', '/clocks/7?x=1')
    expect(explanation).to.include({ configurationVersion: 1, route: 'lookup', service: 'clocks', version: 'v1', host: 'a' })
    expect(explanation.candidates.map(({ host, note }) => `${host}: ${note.split(',')[0]}`))
      .to.deep.equal(['a: 0 in flight from here', 'left: left'])
    expect(node.plane.explain('GET', '/none').reason).to.equal('no route matches')
    expect(node.plane.explain('PUT', '/clocks').reason).to.equal('path is routed, but not for PUT')
    expect(runs).to.have.length(0)
  })
})
