import type { PublishStamp } from './composeConfiguration.js'
import type { Configuration, Service } from './configurationSchema.js'

/** Builds the configuration that follows `previous` with one service replaced. */
export function composeServiceChange (previous: Configuration, service: Service, stamp: PublishStamp): Configuration {
  return {
    ...previous,
    ...stamp,
    version: previous.version + 1,
    services: { ...previous.services, [service.name]: service }
  }
}
