import { expect } from 'chai'
import { createRouteClassifier } from '../../src/serving/createRouteClassifier.js'

/** Number of hosts of each service, on a site with 65 hosts. */
const HOSTS: Readonly<Record<string, number>> = { logbook: 29, declare: 24, mediadock: 8, inspector: 4 }
const getHostShare = (services: ReadonlySet<string>): number =>
  [...services].reduce((sum, service) => sum + (HOSTS[service] ?? 0), 0) / 65

describe('createRouteClassifier', () => {
  function record (classifier: ReturnType<typeof createRouteClassifier>, service: string, times: number): void {
    for (let index = 0; index < times; index++) classifier.record('r', service)
  }

  it('classifies a route as internal once callers would have used it from other hosts too', () => {
    const classifier = createRouteClassifier(getHostShare)
    record(classifier, 'declare', 6)
    expect(classifier.isInternal('r')).to.equal(false)
    record(classifier, 'declare', 1)
    expect(classifier.isInternal('r')).to.equal(true)
  })

  it('classifies a route that two services call as internal (guards against refused calls on a split route)', () => {
    const classifier = createRouteClassifier(getHostShare)
    record(classifier, 'declare', 20)
    record(classifier, 'logbook', 10)
    expect(classifier.isInternal('r')).to.equal(false)
    record(classifier, 'logbook', 10)
    expect(classifier.isInternal('r')).to.equal(true)
  })

  it('does not classify a route that callers use as internal (guards against callers that get the precedence of internal calls)', () => {
    const classifier = createRouteClassifier(getHostShare)
    for (let index = 0; index < 650; index++) {
      classifier.record('r', index % 65 < 29 ? 'logbook' : index % 65 < 53 ? 'declare' : index % 65 < 61 ? 'mediadock' : 'inspector')
    }
    expect(classifier.isInternal('r')).to.equal(false)
  })

  it('does not classify a route without requests as internal', () => expect(createRouteClassifier(getHostShare).isInternal('x')).to.equal(false))
})
