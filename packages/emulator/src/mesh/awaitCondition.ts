const POLL_INTERVAL_MS = 20

/** Polls `condition` until it holds; rejects with `what` after `timeoutMs` milliseconds. */
export async function awaitCondition (
  what: string, condition: () => boolean | Promise<boolean>, timeoutMs = 15_000
): Promise<void> {
  const deadline = Date.now() + timeoutMs
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms: ${what}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
