const POLL_INTERVAL_MS = 20

/** Polls `condition` until it holds. After `timeoutMs` milliseconds, rejects with an error that names `description`. */
export async function awaitCondition (
  description: string, condition: () => boolean | Promise<boolean>, timeoutMs = 15_000
): Promise<void> {
  const deadline = Date.now() + timeoutMs
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms: ${description}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
