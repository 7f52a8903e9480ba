export * from './requests/index.js'
export * from './rollouts/VersionGuard.js'
