import { checkIntents, intentSchema, parseTomlWithSchema } from '@snipenotch/contracts'
import { expect } from 'chai'
import { fangstdata, fangstdataSmall } from '../../src/layouts/fangstdata.js'
import { formatWrobelIntent, wrobel, wrobelSmall } from '../../src/layouts/wrobel.js'

describe('layouts', () => {
  const cases = [[wrobel, 16, 4], [wrobelSmall, 8, 4], [fangstdata, 14, 4], [fangstdataSmall, 4, 2]] as const
  for (const [layout, hosts, services] of cases) {
    it(`${layout.name} has unique host names, hosts for each service and valid intent files (guards against a layout that cannot be published)`, () => {
      expect(new Set(layout.hosts.map(({ host }) => host)).size).to.equal(hosts)
      const files = Object.entries(layout.intents).map(([service, text]) =>
        ({ file: service, intent: parseTomlWithSchema(intentSchema, text, service).unwrap() }))
      expect(files).to.have.length(services)
      expect(checkIntents(files)).to.deep.equal([])
      expect(new Set(layout.hosts.map(({ service }) => service))).to.deep.equal(new Set(Object.keys(layout.intents)))
    })
  }

  it('formats a rollout that the intent schema accepts', () => {
    const text = formatWrobelIntent('clocks', { to: 'v2', finishBy: new Date(1_800_000_000_000) })
    expect(parseTomlWithSchema(intentSchema, text, 'clocks').unwrap().rollout!.to).to.equal('v2')
  })
})
