export * from './createDataCentre.js'
export * from './createHost.js'
export * from './createMesh.js'
