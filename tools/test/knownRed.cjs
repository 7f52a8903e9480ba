const { existsSync, readFileSync } = require('node:fs')
const path = require('node:path')

const file = path.join(__dirname, '../../KNOWN-RED.txt')

/** Lines `test: <full title>` of KNOWN-RED.txt. */
function readKnownRed () {
  if (!existsSync(file)) return new Set()
  const titles = readFileSync(file, 'utf8').matchAll(/^test: (.+)$/gm)
  return new Set([...titles].map((match) => match[1].trim()))
}

const knownRed = readKnownRed()

// Skips exactly the listed tests in CI and names them; elsewhere they run and fail.
exports.mochaHooks = {
  beforeEach () {
    const title = this.currentTest.fullTitle()
    if (!process.env.CI || !knownRed.has(title)) return
    console.log(`known red, passed over: ${title}`)
    this.skip()
  }
}
