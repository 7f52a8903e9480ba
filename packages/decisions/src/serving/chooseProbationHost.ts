import { digestName } from './digestName.js'

/**
 * Returns the name of the host on which a request on probation may run, one at a time; undefined without hosts. All
 * nodes with the same list choose the same host, so that another crash costs one backend server.
 */
export function chooseProbationHost (
  fingerprint: string, hosts: ReadonlyArray<{ readonly host: string }>
): string | undefined {
  const ranked = hosts.map(({ host }) => ({ host, rank: digestName(`${fingerprint} ${host}`) }))
  return ranked.sort((left, right) => left.rank - right.rank || (left.host < right.host ? -1 : 1))[0]?.host
}
