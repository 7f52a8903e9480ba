const { existsSync, readFileSync } = require('node:fs')
const path = require('node:path')

const file = path.join(__dirname, '../../KNOWN-RED.txt')

/** Returns the full titles from the lines `test: <full title>` of KNOWN-RED.txt. */
function readKnownFailures () {
  if (!existsSync(file)) return new Set()
  const titles = readFileSync(file, 'utf8').matchAll(/^test: (.+)$/gm)
  return new Set([...titles].map((match) => match[1].trim()))
}

const knownFailures = readKnownFailures()

// In CI, skips exactly the listed tests and prints their titles. Elsewhere they run and count as failures.
exports.mochaHooks = {
  beforeEach () {
    const title = this.currentTest.fullTitle()
    if (!process.env.CI || !knownFailures.has(title)) return
    console.log(`known red, passed over: ${title}`)
    this.skip()
  }
}
