import type { EventLog } from '@snipenotch/daemon'

/** Pause after a step that threw, in milliseconds: short beside the time in which a change must be in force. */
const ERROR_PAUSE_MS = 250

/** Options of `startLoop`. */
export interface LoopOptions {
  readonly log: EventLog
  /** Tells whether to run another step. */
  readonly isActive: () => boolean
  readonly step: () => Promise<void>
  /** Called when the loop has ended. */
  readonly onEnd?: () => void
}

/** Runs steps while the loop is active. A step that throws is logged and followed by the next one after a pause. */
export function startLoop ({ log, isActive, step, onEnd }: LoopOptions): void {
  async function run (): Promise<void> {
    while (isActive()) {
      try {
        await step()
      } catch (error) {
        log('internalError', { error: error instanceof Error ? error.stack : String(error) })
        await new Promise((resolve) => { setTimeout(resolve, ERROR_PAUSE_MS) })
      }
    }
    onEnd?.()
  }
  run().catch((error: unknown) => { log('internalError', { error: String(error) }) })
}
