export * from './rollouts/VersionGuard.js'
