import { EVENTS, type DaemonSettings, type EventDefinition, type EventName } from '@snipenotch/contracts'
import { pino, type DestinationStream } from 'pino'

/** Writes numbered events; `fields` must be plain data. */
export type EventLog = (name: EventName, fields?: Readonly<Record<string, unknown>>) => void

/** Creates the event log of a daemon: one JSON line for each event, on standard output or `destination`. */
export function createEventLog (settings: DaemonSettings, destination?: DestinationStream): EventLog {
  const options = { level: settings.log.level, base: { host: settings.host, dataCentre: settings.data_centre } }
  const logger = destination === undefined ? pino(options) : pino(options, destination)
  return (name, fields = {}) => {
    const { number, level, text }: EventDefinition = EVENTS[name]
    logger[level]({ event: number, ...fields }, text)
  }
}
