import { createRandom } from '@snipenotch/stand-ins'
import { createStoreClient, PLATFORM_HEADERS } from '@snipenotch/platform'
import { mkdtempSync, rmSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { composePlatformConfiguration } from '../../../../platform/tests/composeWire.js'
import { startStoreStandIn, type StoreStandIn } from '../../../../platform/tests/startStoreStandIn.js'
import { createLedger, type Ledger } from './createLedger.js'
import { COLD_PER_SECOND, type SoakHost, startSoakHost } from './startSoakHost.js'

export interface SoakOptions {
  /** File of the node's program. */
  readonly bundle: string
  /** The same of another build, which every second host starts with and which restarts alternate with. */
  readonly otherBundle?: string | undefined
  readonly seed: number
  /** Time with faults, in milliseconds. */
  readonly faultMs: number
}

export interface SoakResult {
  readonly broken: readonly string[]
  readonly answers: Readonly<Record<string, number>>
  readonly faults: readonly string[]
}

/** Services, whether their requests may run more than once, and their hosts. */
const SERVICES = [
  { service: 'parts', mayRepeat: true, hosts: 3 },
  { service: 'orders', mayRepeat: false, hosts: 3 }
] as const
const DATA_CENTRES = ['krakow', 'tarnow', 'rzeszow'] as const
const REQUEST_INTERVAL_MS = 12
/** Share of callers that leave before their answer. */
const LEAVING_SHARE = 0.05
/** Share of requests with a body that other nodes have to ask for, and its bytes. */
const LARGE_SHARE = 0.1
const LARGE_BYTES = 60_000
/** Time for which callers wait, in milliseconds, and the time beyond it until a request counts as held for ever. */
const CALLER_TIME_MS = 1500
const END_SLACK_MS = 3000
/** Longest time from the last fault until all is served again, in milliseconds: a kept leave and the users' bound. */
const RECOVERY_MS = 15_000
/** Time for which an operator's order is tried while the store is away, in milliseconds. */
const ORDER_LIMIT_MS = 5000
const awaitPause = (duration: number): Promise<void> => new Promise((resolve) => { setTimeout(resolve, duration) })

/** Everything that a fault may act on. */
interface Scene {
  readonly hosts: readonly SoakHost[]
  readonly store: StoreStandIn
  readonly draw: () => number
  readonly publish: () => Promise<void>
  /** Orders that a data centre gets nothing, or takes the order back. */
  readonly evacuate: (dataCentre: string, isOut: boolean) => Promise<void>
}

type Fault = (scene: Scene, host: SoakHost) => Promise<void> | void

async function faultStore ({ store, draw }: Scene, fault: StoreStandIn['fault']): Promise<void> {
  store.fault = fault
  await awaitPause(500 + draw() * 1500)
  store.fault = 'none'
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'node killed': ({ draw }, host) => { host.signal('SIGKILL', draw() * 800) },
  'node stopped': ({ draw }, host) => { host.signal('SIGTERM', draw() * 500) },
  'node paused': async ({ draw }, host) => {
    host.signal('SIGSTOP')
    await awaitPause(100 + draw() * 1500)
    host.signal('SIGCONT')
  },
  'settings reloaded': (_, host) => { host.signal('SIGHUP') },
  'store refuses': (scene) => faultStore(scene, 'refuse'),
  'store silent': (scene) => faultStore(scene, 'silent'),
  'store loses answers': (scene) => faultStore(scene, 'lose-answers'),
  'store forgets': ({ store }) => { store.compact() },
  'store cut from a node': async ({ draw }, { storeProxy }) => {
    storeProxy.pause()
    await awaitPause(500 + draw() * 2000)
    storeProxy.resume()
  },
  'store connections reset': (_, { storeProxy }) => { storeProxy.resetAll() },
  'store answers swallowed': async ({ draw }, { storeProxy }) => {
    storeProxy.setRule({ lose: 'to-client' })
    storeProxy.resetAll()
    await awaitPause(500 + draw() * 1500)
    storeProxy.setRule({})
    storeProxy.resetAll()
  },
  'backend connections reset': (_, { backendProxy }) => { backendProxy.resetAll() },
  'backend slow': async ({ draw }, { backendProxy }) => {
    backendProxy.setRule({ delayMs: 30 + draw() * 100 })
    backendProxy.resetAll()
    await awaitPause(1000)
    backendProxy.setRule({})
    backendProxy.resetAll()
  },
  'backend server leaves': (_, host) => host.leaveAndReturn(),
  'backend server crashes and returns cold': ({ draw }, host) => { host.crashAndReturn(1000 + draw() * 1500) },
  'data centre evacuated': async ({ draw, hosts, evacuate }, { dataCentre }) => {
    await evacuate(dataCentre, true)
    await awaitPause(1000 + draw() * 1000)
    const cold = hosts.filter((host) => host.dataCentre === dataCentre)
    for (const host of cold) host.turnCold(1000 + draw() * 1500)
    await evacuate(dataCentre, false)
  },
  'configuration changes': ({ publish }) => publish()
}

/** Starts a caller that sends one request to a node and records how it ends; resolves with the status. */
function sendOne (ledger: Ledger, agent: Agent, host: SoakHost, serial: number, draw: () => number): Promise<number> {
  const { service, mayRepeat } = SERVICES[draw() < 0.5 ? 0 : 1]
  const id = `soak-${serial}`
  const body = mayRepeat ? '' : `order ${serial}${draw() < LARGE_SHARE ? 'x'.repeat(LARGE_BYTES) : ''}`
  const breaks = host.countBreaks()
  ledger.recordSent({ id, service, mayRepeat, body })
  return new Promise((resolve) => {
    let hasLeft = false
    const leave = (): void => {
      hasLeft = true
      outgoing.destroy()
    }
    const end = (): void => {
      ledger.recordEnd(id)
      if (!hasLeft && host.countBreaks() === breaks) ledger.recordCut(id)
      resolve(0)
    }
    const outgoing = request({
      agent,
      host: '127.0.0.1',
      port: host.callersPort,
      method: mayRepeat ? 'GET' : 'POST',
      path: `/${service}/${serial}`,
      headers: { host: 'a.example', [PLATFORM_HEADERS.attemptId]: id, [PLATFORM_HEADERS.remainingMs]: String(CALLER_TIME_MS) }
    }, (incoming) => {
      const chunks: Buffer[] = []
      incoming.on('data', (chunk: Buffer) => chunks.push(chunk))
      incoming.on('error', end)
      incoming.on('end', () => {
        if (!incoming.complete) return
        const status = incoming.statusCode ?? 0
        const echoedId = String(incoming.headers[PLATFORM_HEADERS.attemptId] ?? '')
        ledger.recordAnswer(id, { status, echoedId, body: Buffer.concat(chunks).toString() })
        resolve(status)
      })
    })
    outgoing.on('error', end)
    outgoing.end(body)
    if (draw() < LEAVING_SHARE) setTimeout(leave, draw() * 60)
    setTimeout(leave, CALLER_TIME_MS + END_SLACK_MS).unref()
  })
}

interface OpenScene extends Scene {
  readonly close: () => Promise<void>
}

async function startScene (options: SoakOptions, ledger: Ledger, directory: string): Promise<OpenScene> {
  const draw = createRandom(options.seed)
  const store = await startStoreStandIn()
  const client = createStoreClient(store.address)
  let version = 0
  let row = 0
  async function publish (): Promise<void> {
    version += 1
    const parts = SERVICES.map(({ service, mayRepeat }) =>
      composePlatformConfiguration(version, [service], {
        idempotent: mayRepeat, coldPerSecond: COLD_PER_SECOND
      }) as { resources: unknown[] })
    const resources = [...parts.flatMap((part) => part.resources.slice(0, 2)), parts[0]?.resources.at(-1)]
    const value = JSON.stringify({ version, resources })
    const condition = { table: 'op', key: 'config', version: row }
    const written = await client.write([condition], [{ table: 'op', key: 'config', value }])
    // A fault of the store may hit the operator as well; the next change follows the row that is there then.
    if (written.isErr()) return
    row = written.value.kind === 'done' ? written.value.version : written.value.rows[0]?.version ?? row
  }
  async function evacuate (dataCentre: string, isOut: boolean): Promise<void> {
    const row = { table: 'op', key: `evacuate/${dataCentre}` }
    const endsAt = performance.now() + ORDER_LIMIT_MS
    while (performance.now() < endsAt) {
      const written = await client.write([], isOut ? [{ ...row, value: '{}' }] : [], isOut ? [] : [row])
      if (written.isOk()) return
      await awaitPause(100)
    }
  }
  await publish()
  const storeAddress = `${store.address.host}:${store.address.port}`
  const { bundle, otherBundle = bundle } = options
  const bundles = [bundle, otherBundle]
  const hosts = await Promise.all(SERVICES.flatMap(({ service, hosts: count }) =>
    Array.from({ length: count }, (_, index) => startSoakHost({
      bundles: index % 2 === 0 ? bundles : [...bundles].reverse(),
      directory,
      host: `${service}-${index}`,
      service,
      dataCentre: DATA_CENTRES[index % DATA_CENTRES.length] ?? DATA_CENTRES[0],
      storeAddress,
      ledger,
      draw
    }))))
  return {
    hosts,
    store,
    draw,
    publish,
    evacuate,
    close: async () => {
      for (const { host, countNodes } of hosts) {
        if (countNodes() > 1) ledger.recordBroken('soak', `${countNodes()} nodes at ${host}`)
      }
      await Promise.all(hosts.map((host) => host.stop()))
      client.close()
      await store.close()
    }
  }
}

/** Plays faults drawn by the seed, in series that overlap, while callers send; then waits until all is served again. */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const ledger = createLedger()
  const directory = mkdtempSync(`${tmpdir()}/snipenotch-soak-`)
  const scene = await startScene(options, ledger, directory)
  const agent = new Agent({ keepAlive: true })
  const faults: string[] = []
  const open = new Set<Promise<unknown>>()
  const recent: number[] = []
  let serial = 0
  function sendNext (): void {
    const host = scene.hosts[serial % scene.hosts.length]
    if (host === undefined) return
    serial += 1
    const sent = sendOne(ledger, agent, host, serial, scene.draw).then((status) => {
      recent.push(status)
      if (recent.length > 60) recent.shift()
    }).finally(() => { open.delete(sent) })
    open.add(sent)
  }
  const callers = setInterval(sendNext, REQUEST_INTERVAL_MS)
  const isServed = (): boolean => recent.length >= 60 && recent.filter((status) => status === 200).length >= 50
  async function awaitServed (title: string): Promise<void> {
    recent.length = 0
    const endsAt = performance.now() + RECOVERY_MS
    while (!isServed() && performance.now() < endsAt) await awaitPause(100)
    const served = recent.filter((status) => status === 200).length
    if (!isServed()) ledger.recordBroken('recover', `${title}: ${served} of the latest ${recent.length} served`)
  }
  try {
    await awaitServed('at the start')
    const playing: Array<Promise<void>> = []
    const endsAt = performance.now() + options.faultMs
    while (performance.now() < endsAt) {
      const names = Object.keys(FAULTS)
      const name = names[Math.floor(scene.draw() * names.length)] ?? ''
      const host = scene.hosts[Math.floor(scene.draw() * scene.hosts.length)]
      if (host === undefined) break
      faults.push(`${name} (${host.host})`)
      playing.push(Promise.resolve(FAULTS[name]?.(scene, host)))
      await awaitPause(50 + scene.draw() * 500)
    }
    await Promise.all(playing)
    await awaitServed('after the faults')
    clearInterval(callers)
    await Promise.race([Promise.all(open), awaitPause(CALLER_TIME_MS + END_SLACK_MS)])
  } finally {
    clearInterval(callers)
    agent.destroy()
    await scene.close()
    rmSync(directory, { recursive: true, force: true })
  }
  return { broken: ledger.listBroken(true), answers: ledger.countAnswers(), faults }
}
