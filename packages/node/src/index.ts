export * from './createNode.js'
export * from './NodeContext.js'
export * from './operations/createRateLimitedLog.js'
