import type { Route } from '@snipenotch/contracts'
import { expect } from 'chai'
import fc from 'fast-check'
import { buildRouteTable } from '../../src/requests/buildRouteTable.js'
import { createConfiguration, createRoute } from './fixtures.js'

/** Reference implementation: a linear scan over all routes. */
function findByScan (routes: readonly Route[], method: string, path: string): Route | undefined {
  const matching = routes.filter((route) => route.method === method && (path === route.path ||
    path.startsWith(route.path.endsWith('/') ? route.path : `${route.path}/`)))
  return matching.sort((left, right) => right.path.length - left.path.length)[0]
}

describe('buildRouteTable', () => {
  const table = buildRouteTable(createConfiguration([
    createRoute({ name: 'root', path: '/' }),
    createRoute({ name: 'clocks', path: '/clocks' }),
    createRoute({ name: 'clock-parts', path: '/clocks/parts' }),
    createRoute({ name: 'order', method: 'POST', path: '/orders' }),
    createRoute({ name: 'slash', path: '/haul/' })
  ]))
  const cases: Array<[string, string, string | undefined, string]> = [
    ['GET', '/clocks', 'clocks', 'an exact path that is missed'],
    ['GET', '/clocks/7', 'clocks', 'a prefix that is missed'],
    ['GET', '/clocks/parts/3', 'clock-parts', 'a shorter prefix that wins'],
    ['GET', '/clocksmith', 'root', 'a prefix that matches inside a segment'],
    ['GET', '/clocks/partsbin', 'clocks', 'a nested prefix that matches inside a segment'],
    ['GET', '/haul', 'root', 'a route with a final slash that matches without it'],
    ['GET', '/haul/1', 'slash', 'a route with a final slash that is missed'],
    ['POST', '/orders/', 'order', 'a final slash that hides the route'],
    ['POST', '/clocks', undefined, 'a route that ignores the method'],
    ['GET', '', undefined, 'an empty path that fails']
  ]
  for (const [method, path, expected, fault] of cases) {
    it(`${method} "${path}" gives ${expected ?? 'no route'} (guards against ${fault})`, () => {
      expect(table.find(method, path)?.name).to.equal(expected)
    })
  }

  it('agrees with a linear scan for arbitrary routes and paths (guards against routes missing from the table)', () => {
    const segment = fc.constantFrom('a', 'b', 'ab', 'c%20', 'é')
    const path = fc.tuple(fc.array(segment, { maxLength: 4 }), fc.boolean())
      .map(([parts, slash]) => `/${parts.join('/')}${slash ? '/' : ''}`)
    const routes = fc.uniqueArray(fc.tuple(fc.constantFrom<Route['method']>('GET', 'POST'), path), {
      selector: ([method, text]) => `${method} ${text}`, maxLength: 30
    })
    fc.assert(fc.property(routes, fc.array(path, { minLength: 1, maxLength: 20 }), (pairs, paths) => {
      const list = pairs.map(([method, text], index) => createRoute({ name: `r${index}`, method, path: text }))
      const compiled = buildRouteTable(createConfiguration(list))
      for (const text of paths) {
        expect(compiled.find('GET', text)?.name, text).to.equal(findByScan(list, 'GET', text)?.name)
        expect(compiled.hasPath(text)).to.equal(['GET', 'POST'].some((method) => findByScan(list, method, text) !== undefined))
      }
    }), { numRuns: 500 })
  })
})
