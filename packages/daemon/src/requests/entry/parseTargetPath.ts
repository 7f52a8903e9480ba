/**
 * Returns the path of a request target without the query; removes scheme and authority of a target in absolute form.
 */
export function parseTargetPath (target: string): string {
  const start = target.startsWith('/') ? 0 : Math.max(0, target.indexOf('/', target.indexOf('://') + 3))
  const query = target.indexOf('?')
  return target.slice(start, query < 0 ? undefined : query)
}
