export * from './createDaemon.js'
