import type { PublishMetadata } from './composeConfiguration.js'
import type { Configuration, Service } from './configurationSchema.js'

/** Builds the successor of `previous` with one service replaced. */
export function composeServiceChange (
  previous: Configuration, service: Service, metadata: PublishMetadata
): Configuration {
  return {
    ...previous,
    ...metadata,
    version: previous.version + 1,
    services: { ...previous.services, [service.name]: service }
  }
}
