/** Report of a demo run: one line for each checked guarantee, with the measured values. */
export interface DemoReport {
  /** Prints the result of one check; `figures` holds the measured values. */
  readonly addResult: (isPassed: boolean, guarantee: string, figures: string) => void
  /** Runs a phase of the demo. If it rejects, adds a failed result with the error message. */
  readonly runPhase: (phase: string, steps: () => Promise<void>) => Promise<void>
  /** Whether at least one result was added and none has failed. */
  readonly hasPassed: () => boolean
}

/** Creates a report that prints each line when it is added. */
export function createDemoReport (print: (line: string) => void): DemoReport {
  let allPassed = true
  let resultCount = 0
  const addResult: DemoReport['addResult'] = (isPassed, guarantee, figures) => {
    allPassed &&= isPassed
    resultCount += 1
    print(`  ${isPassed ? 'held  ' : 'FAILED'}  ${guarantee}: ${figures}`)
  }
  return {
    addResult,
    runPhase: async (phase, steps) => {
      print(phase)
      try {
        await steps()
      } catch (error) {
        addResult(false, 'phase runs to its end', error instanceof Error ? error.message : String(error))
      }
    },
    hasPassed: () => allPassed && resultCount > 0
  }
}
