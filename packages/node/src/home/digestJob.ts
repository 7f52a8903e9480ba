import { BODY_PREFIX_BYTES, digestFingerprint } from '@snipenotch/daemon'
import type { BackendJob } from './BackendJob.js'

const digests = new WeakMap<BackendJob, string>()

function findHostHeader ({ headers }: BackendJob): string {
  const index = headers.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'host')
  return index === -1 ? '' : headers[index + 1] ?? ''
}

/**
 * Returns the fingerprint of a request: a digest of method, host name, path with query, and the beginning of the body.
 * It is the same for all attempts at a request, wherever they enter the mesh.
 */
export function digestJob (job: BackendJob): string {
  let digest = digests.get(job)
  if (digest === undefined) {
    digest = digestFingerprint(job.method, findHostHeader(job) + job.target, job.body.subarray(0, BODY_PREFIX_BYTES))
    digests.set(job, digest)
  }
  return digest
}
