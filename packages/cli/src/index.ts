export * from './commands/check.js'
export * from './createProgram.js'
export * from './EXIT_CODES.js'
export * from './readIntents.js'
