import { buildHosts, formatIntent, formatRoute, type MeshLayout } from './MeshLayout.js'

const DATA_CENTRES = ['tromso', 'hammerfest', 'bodo'] as const
const LIMITS = 'slots = 10\nconnections = 120\nqueue = 40\nexpected_latency_ms = 100'

const ROUTES: Readonly<Record<string, readonly string[]>> = {
  hauls: [formatRoute('haul-history', 'GET', '/hauls', 'lookup', 2000)],
  declarations: [formatRoute('landing-declaration', 'POST', '/declarations', 'order', 10_000)],
  bundles: [formatRoute('sonar-bundle', 'PUT', '/bundles', 'upload', 60_000)],
  inspectors: [formatRoute('inspector-search', 'GET', '/inspectors', 'lookup', 2000)]
}

/** Layout of a trawler catch logbook: three data centres, four services, 14 hosts. */
export const fangstdata: MeshLayout = {
  name: 'fangstdata',
  dataCentres: DATA_CENTRES,
  hosts: buildHosts(DATA_CENTRES, {
    hauls: [2, 1, 1], declarations: [2, 1, 1], bundles: [1, 1, 1], inspectors: [1, 1, 1]
  }, 'v1'),
  intents: Object.fromEntries(Object.entries(ROUTES).map(([service, routes]) =>
    [service, formatIntent(service, LIMITS, routes)]))
}

/** Reduced layout: four hosts in two data centres, two of `hauls` and two of `declarations`. */
export const fangstdataSmall: MeshLayout = {
  name: 'fangstdata-small',
  dataCentres: DATA_CENTRES.slice(0, 2),
  hosts: buildHosts(DATA_CENTRES.slice(0, 2), { hauls: [1, 1], declarations: [1, 1] }, 'v1'),
  intents: Object.fromEntries(Object.entries(fangstdata.intents).filter(([service]) =>
    service === 'hauls' || service === 'declarations'))
}
