export * from './home/createKeyLedger.js'
export * from './home/KeyLedger.js'
export * from './rollouts/VersionGuard.js'
