import { expect } from 'chai'
import { createRouteCallers } from '../../src/serving/createRouteCallers.js'

/** Hosts of each service, as on a site of 65 hosts. */
const HOSTS: Readonly<Record<string, number>> = { logbook: 29, declare: 24, mediadock: 8, inspector: 4 }
const getHostShare = (services: ReadonlySet<string>): number =>
  [...services].reduce((sum, service) => sum + (HOSTS[service] ?? 0), 0) / 65

describe('createRouteCallers', () => {
  function record (callers: ReturnType<typeof createRouteCallers>, service: string, times: number): void {
    for (let index = 0; index < times; index++) callers.record('r', service)
  }

  it('takes a route as internal once callers would have used it from other hosts too', () => {
    const callers = createRouteCallers(getHostShare)
    record(callers, 'declare', 6)
    expect(callers.isInternal('r')).to.equal(false)
    record(callers, 'declare', 1)
    expect(callers.isInternal('r')).to.equal(true)
  })

  it('takes a route that two services call as internal (guards against refused calls where a route is split)', () => {
    const callers = createRouteCallers(getHostShare)
    record(callers, 'declare', 20)
    record(callers, 'logbook', 10)
    expect(callers.isInternal('r')).to.equal(false)
    record(callers, 'logbook', 10)
    expect(callers.isInternal('r')).to.equal(true)
  })

  it('takes no route as internal that callers use (guards against callers that pass all others)', () => {
    const callers = createRouteCallers(getHostShare)
    for (let index = 0; index < 650; index++) {
      callers.record('r', index % 65 < 29 ? 'logbook' : index % 65 < 53 ? 'declare' : index % 65 < 61 ? 'mediadock' : 'inspector')
    }
    expect(callers.isInternal('r')).to.equal(false)
  })

  it('knows nothing of other routes', () => expect(createRouteCallers(getHostShare).isInternal('x')).to.equal(false))
})
