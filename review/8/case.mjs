/**
 * One machine is partitioned from the store, and the operator moves a route just afterwards. All other machines reach
 * the store. Which service runs the requests that they get later than `config-apply-ms` after the operator's ack?
 */
import {
  awaitCondition, awaitMs, composeConfiguration, isReady, runCase, sendAttempt, startInstance, startNode,
  startSilenceableProxy, startStore
} from '../lib-2/harness.mjs'

const CONFIG_APPLY_MS = 2000
/** Machines of each zone, as in fangst-nord. */
const ZONES = { tromso: 6, hammerfest: 4, bodo: 4 }
const ROUNDS = 5
/** Length of the partition, as in the list of troubles of fangst-nord. */
const CUT_MS = 5500
/** Time from the partition to the change of the configuration. */
const CHANGE_AFTER_MS = 50
/** Calm time between two rounds: `contact-ms` and some more. */
const CALM_MS = 6000
/** Machines that asked the store for changes within this time count as readers of its list. */
const READER_MS = 1500
/** Pause between two requests at one machine. */
const REQUEST_INTERVAL_MS = 100
const SERVICES = ['declare', 'logbook']

/** False with `TROUBLE=0`: the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'

await runCase(import.meta.dirname, async ({ record }) => {
  const store = await startStore()
  const compose = (version, service) =>
    composeConfiguration(version, { decl: { service, kind: 'unsafe', timeoutMs: 800 } }, SERVICES)
  store.putOperatorRow('config', compose(1, SERVICES[0]))
  const machines = []
  for (const [zone, count] of Object.entries(ZONES)) {
    for (let number = 1; number <= count; number++) {
      const name = `sidecar-${zone}-${number}`
      const service = SERVICES[number % 2]
      const instance = await startInstance({ id: `i-${zone}-${number}`, service, zone })
      const proxy = await startSilenceableProxy(store.port)
      const node = await startNode({ name, zone, service, store: proxy, backendPort: instance.port })
      instance.startReports(() => node)
      machines.push({ name, service, instance, proxy, node })
    }
  }
  for (const { node } of machines) await awaitCondition('all nodes are ready', () => isReady(node))
  await awaitMs(6000)

  let version = 1
  let service = SERVICES[0]
  let late = 0
  let attempts = 0

  /** Sends requests to one machine and records those that the old service runs. */
  async function probeMachine ({ name, node }, oldService, ackedAt) {
    let lastOldMs = 0
    while (performance.now() < ackedAt + CUT_MS - CHANGE_AFTER_MS - 500) {
      attempts += 1
      const id = `attempt-${attempts}`
      const sentMs = performance.now() - ackedAt
      const { status } = await sendAttempt(node.callers, id, { path: '/decl/x', method: 'POST', body: 'declaration' })
      const runner = machines.find(({ instance }) => instance.seen.some((seen) => seen.id === id))
      if (runner?.service === oldService) {
        lastOldMs = sentMs
        if (sentMs > CONFIG_APPLY_MS) {
          late += 1
          record(`${id} sent to ${name} ${Math.round(sentMs)} ms after the ack of version ${version}: answered ${status}, ` +
            `run by ${runner.name} (${oldService}), which only an older version allows`)
        }
      }
      await awaitMs(REQUEST_INTERVAL_MS)
    }
    record(`${name}: the last request that ${oldService} ran was sent ${Math.round(lastOldMs)} ms after the ack`)
  }

  for (let round = 1; round <= ROUNDS; round++) {
    // One of the machines that read the platform's list, another one in each round.
    const readers = machines.filter(({ proxy }) => performance.now() - proxy.lastFeedAt < READER_MS)
    const cut = readers[round % readers.length]
    const oldService = service
    service = SERVICES.find((name) => name !== oldService)
    version += 2
    record(`round ${round}: ${cut.name} ${hasTrouble ? 'is partitioned from the store' : 'stays connected'}`)
    cut.proxy.isSilent = hasTrouble
    await awaitMs(CHANGE_AFTER_MS)
    store.putOperatorRow('config', compose(version, service))
    const ackedAt = performance.now()
    record(`version ${version} is acknowledged: /decl/ moves from ${oldService} to ${service}`)
    await Promise.all(machines.filter((machine) => machine !== cut)
      .map((machine) => probeMachine(machine, oldService, ackedAt)))
    cut.proxy.isSilent = false
    await awaitMs(CALM_MS)
  }
  for (const { instance, proxy } of machines) {
    instance.close()
    proxy.close()
  }
  store.close()
  return late > 0 && `CONFIG: ${late} requests to machines in touch were run by the old service too late`
})
