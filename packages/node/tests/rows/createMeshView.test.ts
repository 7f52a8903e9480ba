import { expect } from 'chai'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import { createMeshView, type MeshView } from '../../src/rows/createMeshView.js'
import { createTestContext, type TestContext } from '../createTestContext.js'

describe('createMeshView', () => {
  let context: TestContext
  let view: MeshView

  /** Applies a row with a configuration; `rowVersion` is the version of the row in the store. */
  function apply (rowVersion: number, value: object | string): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value)
    view.apply([{ table: 'op', key: 'config', value: text, version: rowVersion }])
  }

  const listServed = (): string[] =>
    ['parts', 'orders'].filter((service) => view.findRoute('a.example', `/${service}/1`) !== undefined)

  beforeEach(() => {
    context = createTestContext()
    view = createMeshView(context, () => undefined)
    apply(10, composePlatformConfiguration(5, ['parts', 'orders']))
  })

  it('keeps a configuration when an older one arrives later (guards against a route that comes back or is lost)', () => {
    apply(11, composePlatformConfiguration(4, ['parts']))
    expect([view.getConfiguration()?.version, listServed()]).to.deep.equal([5, ['parts', 'orders']])
    apply(12, composePlatformConfiguration(6, ['parts']))
    expect([view.getConfiguration()?.version, listServed()]).to.deep.equal([6, ['parts']])
  })

  it('keeps a configuration whole when its row is removed', () => {
    view.apply([{ table: 'op', key: 'config', value: undefined, version: 11 }])
    expect([view.getConfiguration()?.version, listServed()]).to.deep.equal([5, ['parts', 'orders']])
  })

  const { resources } = composePlatformConfiguration(6, ['parts']) as { resources: Array<Record<string, unknown>> }
  const invalid: Array<[string, object | string]> = [
    ['without limits', { version: 6, resources: resources.slice(0, -1) }],
    ['with one route that cannot be read', { version: 6, resources: [{ ...resources[0], specification: { prefix: 7 } }, ...resources.slice(1)] }],
    ['that is no JSON', '{"version":6,'],
    ['without a version', { resources }]
  ]
  for (const [title, value] of invalid) {
    it(`applies no part of a configuration ${title} (guards against a mesh with half of its routes)`, () => {
      apply(11, value)
      expect([view.getConfiguration()?.version, listServed()]).to.deep.equal([5, ['parts', 'orders']])
      expect(context.events.map(({ name }) => name)).to.include('configurationRejected')
    })
  }
})
