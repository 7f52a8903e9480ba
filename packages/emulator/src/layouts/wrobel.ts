import { buildHosts, formatIntent, formatRoute, type MeshLayout } from './MeshLayout.js'

const DATA_CENTRES = ['krakow', 'katowice', 'tarnow', 'rzeszow'] as const
const LIMITS = 'slots = 10\nconnections = 100\nqueue = 40\nexpected_latency_ms = 100'

const ROUTES: Readonly<Record<string, readonly string[]>> = {
  clocks: [formatRoute('clock-status', 'GET', '/clocks', 'lookup', 2000)],
  repairs: [
    formatRoute('repair-history', 'GET', '/repairs', 'lookup', 2000),
    formatRoute('job-sign-off', 'POST', '/repairs/sign-off', 'order', 10_000)
  ],
  parts: [formatRoute('part-order', 'POST', '/parts/orders', 'order', 10_000)],
  uploads: [formatRoute('calibration-photo', 'PUT', '/uploads', 'upload', 60_000)]
}

/** Formats the intent file of one of Wróbel's services; `rollout` moves the service to another version. */
export function formatWrobelIntent (service: string, rollout?: { to: string, finishBy: Date }): string {
  return formatIntent(service, LIMITS, ROUTES[service] ?? [], rollout)
}

const intents = Object.fromEntries(Object.keys(ROUTES).map((service) => [service, formatWrobelIntent(service)]))

/** Layout of a network of station clocks: four data centres, four services, 16 hosts. */
export const wrobel: MeshLayout = {
  name: 'wrobel',
  dataCentres: DATA_CENTRES,
  hosts: buildHosts(DATA_CENTRES, {
    clocks: [1, 1, 1, 1], repairs: [1, 1, 1, 1], parts: [1, 1, 1, 1], uploads: [1, 1, 1, 1]
  }, 'v1'),
  intents
}

/** Reduced layout: eight hosts, two of each service and two in each data centre. */
export const wrobelSmall: MeshLayout = {
  ...wrobel,
  name: 'wrobel-small',
  hosts: buildHosts(DATA_CENTRES, {
    clocks: [1, 0, 1, 0], repairs: [0, 1, 0, 1], parts: [1, 0, 1, 0], uploads: [0, 1, 0, 1]
  }, 'v1')
}
