import type { Release } from '@snipenotch/contracts'

/** Returns the share of requests that a version may receive, 0 to 1; 1 without a release. */
export function getVersionShare (release: Release | undefined, version: string): number {
  if (release === undefined) return 1
  const { rollout, stable, denied } = release
  if (rollout?.state === 'running') {
    if (version === rollout.to) return rollout.share
    return version === stable ? 1 - rollout.share : 0
  }
  return version === stable && !denied.includes(version) ? 1 : 0
}

/** Draws the version for a request: the new version with the probability of its share, otherwise the stable one. */
export function drawReleaseVersion (release: Release, random: () => number): string {
  const { rollout, stable } = release
  return rollout?.state === 'running' && random() < rollout.share ? rollout.to : stable
}

/**
 * Returns whether a version may run requests. If no host serves the stable version, other versions may take over, since
 * serving requests is better than refusing them; but not one that is being rolled out or has been rolled back.
 */
export function isVersionAllowed (
  release: Release | undefined, version: string, servedVersions: ReadonlySet<string>
): boolean {
  if (release === undefined || getVersionShare(release, version) > 0) return true
  const isRollingOut = release.rollout?.state === 'running' && release.rollout.to === version
  return !servedVersions.has(release.stable) && !isRollingOut && !release.denied.includes(version)
}
