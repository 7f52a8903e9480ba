import { expect } from 'chai'
import { execFileSync } from 'node:child_process'
import path from 'node:path'
import { runSoak } from './runSoak.js'

/** Seeds that failed once, with the cause. */
const REGRESSIONS: ReadonlyArray<{ readonly seed: number, readonly cause: string }> = [
  { seed: 3029, cause: 'a node that was stopping was told to stop again, and ended at once' }
]
/** Time to bundle the node on a busy machine, in milliseconds. */
const BUILD_TIMEOUT_MS = 60_000
/** Seed that CI plays. */
const CI_SEED = 20_261_204
/** Seeds played by hand: `SOAK_SEEDS=50 SOAK_FIRST=1000`. */
const handSeeds = Array.from({ length: Number(process.env.SOAK_SEEDS ?? 0) }, (_, index) =>
  Number(process.env.SOAK_FIRST ?? 1) + index)

/** Folder with another build of the project, whose nodes then run beside those of this one. */
const otherBuild = process.env.SNIPENOTCH_OTHER_BUILD

describe('soak of node processes with faults', () => {
  const bundle = 'target/snipenotch-node.mjs'
  const otherBundle = otherBuild === undefined ? undefined : path.join(otherBuild, bundle)
  const faultMs = Number(process.env.SOAK_MS ?? 6000)

  before(function () {
    this.timeout(BUILD_TIMEOUT_MS)
    execFileSync(process.execPath, ['tools/build/bundle.js'])
  })

  const cases = handSeeds.length > 0
    ? handSeeds.map((seed) => ({ seed, cause: 'by hand' }))
    : [{ seed: CI_SEED, cause: 'in CI' }, ...REGRESSIONS]
  for (const { seed, cause } of cases) {
    it(`keeps every promise under seed ${seed} (${cause})`, async function () {
      this.timeout(faultMs + 60_000)
      const { broken, answers, faults } = await runSoak({ bundle, otherBundle, seed, faultMs })
      expect(broken, JSON.stringify({ answers, faults })).to.deep.equal([])
      expect(answers[200] ?? 0).to.be.greaterThan(100)
    })
  }
})
