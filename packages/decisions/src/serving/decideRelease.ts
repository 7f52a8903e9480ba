import type { Release } from '@snipenotch/contracts'

/** Share of requests that a version may get: 0 none, 1 all. */
export function getVersionShare (release: Release | undefined, version: string): number {
  if (release === undefined) return 1
  const { rollout, stable, denied } = release
  if (rollout?.state === 'running') {
    if (version === rollout.to) return rollout.share
    return version === stable ? 1 - rollout.share : 0
  }
  return version === stable && !denied.includes(version) ? 1 : 0
}

/** Draws the version that takes a request: the new one with its share, otherwise the stable one. */
export function drawReleaseVersion (release: Release, draw: () => number): string {
  const { rollout, stable } = release
  return rollout?.state === 'running' && draw() < rollout.share ? rollout.to : stable
}

/**
 * True if a version may run requests. If no host serves a version that may, the others take over, except a version that
 * is being tried or was rolled back: a service whose stable version has vanished is served rather than refused.
 */
export function isVersionAllowed (
  release: Release | undefined, version: string, servedVersions: ReadonlySet<string>
): boolean {
  if (release === undefined || getVersionShare(release, version) > 0) return true
  const isTried = release.rollout?.state === 'running' && release.rollout.to === version
  return !servedVersions.has(release.stable) && !isTried && !release.denied.includes(version)
}
