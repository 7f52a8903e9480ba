import { EVENTS, type EventDefinition, type EventLevel, type EventName } from '@snipenotch/contracts'
import { pino, type DestinationStream } from 'pino'

/** Writes numbered events; `fields` must be plain data. */
export type EventLog = (name: EventName, fields?: Readonly<Record<string, unknown>>) => void

/** Where the lines of a log come from, and the lowest level that is written. */
export interface EventLogSettings {
  readonly host: string
  readonly data_centre: string
  readonly log: { readonly level: EventLevel | 'silent' }
}

/** Creates the event log of a daemon: one JSON line for each event, on standard output or `destination`. */
export function createEventLog (settings: EventLogSettings, destination?: DestinationStream): EventLog {
  const options = { level: settings.log.level, base: { host: settings.host, dataCentre: settings.data_centre } }
  const logger = destination === undefined ? pino(options) : pino(options, destination)
  return (name, fields = {}) => {
    const { number, level, text }: EventDefinition = EVENTS[name]
    logger[level]({ event: number, ...fields }, text)
  }
}
