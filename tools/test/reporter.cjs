const Mocha = require('mocha')

/** The spec reporter with a plain closing line that CI reads. */
module.exports = class PlainReporter extends Mocha.reporters.Spec {
  epilogue () {
    super.epilogue()
    const { passes, failures, pending } = this.stats
    Mocha.reporters.Base.consoleLog(`${passes} passed, ${failures} failed, ${pending} skipped`)
  }
}
