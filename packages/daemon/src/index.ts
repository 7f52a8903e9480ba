export * from './createDaemon.js'
export * from './control/frameCodec.js'
