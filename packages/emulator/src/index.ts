export * from './mesh/awaitCondition.js'
export * from './mesh/findFreePort.js'
export * from './mesh/startMesh.js'
export * from './mesh/startProcess.js'
