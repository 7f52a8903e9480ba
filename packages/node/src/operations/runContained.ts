import type { NodeContext } from '../NodeContext.js'

/**
 * Runs `action`. If it throws, the error is logged with `fields` and `onError` is called, so that the error ends no
 * other work of the calling code.
 */
export function runContained (
  { log, counters }: Pick<NodeContext, 'log' | 'counters'>, action: () => void, onError?: () => void,
  fields: Readonly<Record<string, unknown>> = {}
): void {
  try {
    action()
  } catch (error) {
    counters.count('internal_errors', 'contained')
    log('internalError', { ...fields, error: error instanceof Error ? error.stack : String(error) })
    onError?.()
  }
}
