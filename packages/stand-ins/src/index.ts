export * from './createBackendServerStandIn.js'
export * from './createPlatformStandIn.js'
