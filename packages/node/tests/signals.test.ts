import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { findFreePort } from '../../emulator/src/mesh/findFreePort.js'
import { startNodeProcess } from './startNodeProcess.js'
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
    const [backend, store] = await Promise.all([findFreePort(), findFreePort()])
    const node = await startNodeProcess({
      directory, host: 'krakow-1', backend: `127.0.0.1:${backend}`, store: `127.0.0.1:${store}`
    })
    await awaitCondition('it listens', () => send(node.readiness, '/').then(() => true, () => false))
    node.child.kill('SIGTERM')
    await awaitCondition('it is stopping', () => node.readOutput().includes('"event":101'))
    node.child.kill('SIGTERM')
    node.child.kill('SIGINT')
    expect(await node.exited).to.equal(0)
    rmSync(directory, { recursive: true, force: true })
  })
})
