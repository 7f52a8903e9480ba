/** Path of a request target, without query; targets in absolute form lose scheme and authority. */
export function splitPath (target: string): string {
  const start = target.startsWith('/') ? 0 : Math.max(0, target.indexOf('/', target.indexOf('://') + 3))
  const query = target.indexOf('?')
  return target.slice(start, query < 0 ? undefined : query)
}
