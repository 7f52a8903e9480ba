export * from './readIntents.js'
