const Mocha = require('mocha')

/** Spec reporter that ends with one line of test counts, which CI parses. */
module.exports = class SummaryReporter extends Mocha.reporters.Spec {
  epilogue () {
    super.epilogue()
    const { passes, failures, pending } = this.stats
    Mocha.reporters.Base.consoleLog(`${passes} passed, ${failures} failed, ${pending} skipped`)
  }
}
