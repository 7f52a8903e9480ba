import { EVENTS, type EventDefinition, type EventLevel, type EventName } from '@snipenotch/contracts'
import { pino, type DestinationStream } from 'pino'

/** Logs a numbered event; `fields` must be serializable to JSON. */
export type EventLog = (name: EventName, fields?: Readonly<Record<string, unknown>>) => void

/** Origin of the log lines and the lowest level that is logged. */
export interface EventLogSettings {
  readonly host: string
  readonly data_centre: string
  readonly log: { readonly level: EventLevel | 'silent' }
}

/** Creates the event log of a daemon, which writes one JSON line for each event to standard output or `destination`. */
export function createEventLog (settings: EventLogSettings, destination?: DestinationStream): EventLog {
  const options = { level: settings.log.level, base: { host: settings.host, dataCentre: settings.data_centre } }
  const logger = destination === undefined ? pino(options) : pino(options, destination)
  return (name, fields = {}) => {
    const { number, level, text }: EventDefinition = EVENTS[name]
    logger[level]({ event: number, ...fields }, text)
  }
}
