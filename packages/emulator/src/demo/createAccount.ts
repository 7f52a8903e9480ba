/** Account of a demonstration: one line for each promise, with the measured figures. */
export interface Account {
  readonly add: (held: boolean, promise: string, figures: string) => void
  /** Adds the result of a phase, or a failed line with the error if the phase cannot be run to its end. */
  readonly run: (phase: string, steps: () => Promise<void>) => Promise<void>
  readonly hasHeld: () => boolean
}

/** Creates an account that prints each line as it is added. */
export function createAccount (print: (line: string) => void): Account {
  let held = true
  let checks = 0
  const add: Account['add'] = (holds, promise, figures) => {
    held &&= holds
    checks += 1
    print(`  ${holds ? 'held  ' : 'FAILED'}  ${promise}: ${figures}`)
  }
  return {
    add,
    run: async (phase, steps) => {
      print(phase)
      try {
        await steps()
      } catch (error) {
        add(false, 'phase runs to its end', error instanceof Error ? error.message : String(error))
      }
    },
    hasHeld: () => held && checks > 0
  }
}
