import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { findFreePort } from '../../emulator/src/mesh/findFreePort.js'
import { startProcess } from '../../emulator/src/mesh/startProcess.js'
import { composeSettings } from '../../../platform/tests/composeWire.js'
import { awaitCondition, send } from './startTestMesh.js'

/** Time limit for bundling the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000

describe('signals', () => {
  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })

  it('shuts down gracefully once despite repeated signals (guards against open requests cut by a second signal)', async () => {
    const directory = mkdtempSync(`${tmpdir()}/snipenotch-signals-`)
    const ports = await Promise.all(Array.from({ length: 8 }, findFreePort))
    const [callers = 0, requests = 0, readiness = 0, reports = 0, ...others] = ports
    const [backend = 0, store = 0, peers = 0, metrics = 0] = others
    const file = `${directory}/settings.toml`
    const at = (port: number): string => `127.0.0.1:${port}`
    writeFileSync(file, composeSettings({
      host: 'krakow-1',
      dataCentre: 'krakow',
      service: 'clocks',
      callers: at(callers),
      requests: at(requests),
      readiness: at(readiness),
      reports: at(reports),
      backend: at(backend),
      store: at(store),
      ports: [peers, metrics]
    }))
    const node = startProcess('target/snipenotch-node.mjs', [], { env: { SNIPENOTCH_NODE_FILE: file } })
    await awaitCondition('it listens', () => send(readiness, '/').then(() => true, () => false))
    node.child.kill('SIGTERM')
    await awaitCondition('it is stopping', () => node.readOutput().includes('"event":101'))
    node.child.kill('SIGTERM')
    node.child.kill('SIGINT')
    expect(await node.exited).to.equal(0)
    rmSync(directory, { recursive: true, force: true })
  })
})
