import type { Server } from 'node:http'
import { createSystemClock, type DaemonSettings, type HostAndPort, parseSocketAddress } from '@snipenotch/contracts'
import { HttpObjectStore, HttpTableService } from '@snipenotch/store'
import { createAdminServer } from './admin/createAdminServer.js'
import { createControlPlane } from './control/createControlPlane.js'
import { createIdentity } from './node/createIdentity.js'
import type { NodeContext } from './node/NodeContext.js'
import { createCounters } from './observability/createCounters.js'
import { createEventLog } from './observability/createEventLog.js'
import { createDataPlane } from './requests/createDataPlane.js'
import { createRolloutController } from './rollouts/createRolloutController.js'

export interface Daemon {
  /** Resolves once all ports listen. */
  readonly start: () => Promise<void>
  /** Drains, announces that the host has left, closes the ports and resolves. */
  readonly stop: () => Promise<void>
}

function createContext (settings: DaemonSettings): NodeContext {
  const clock = createSystemClock()
  return {
    settings,
    clock,
    identity: createIdentity(settings, clock),
    random: Math.random,
    log: createEventLog(settings),
    counters: createCounters(),
    table: new HttpTableService(settings.platform.table, settings.platform.timeout_ms),
    objects: new HttpObjectStore(settings.platform.objects, settings.platform.timeout_ms)
  }
}

function listenOn (server: Server, { host, port }: HostAndPort): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
}

/** Builds a daemon from checked settings; nothing happens until it is started. */
export function createDaemon (settings: DaemonSettings): Daemon {
  const context = createContext(settings)
  const control = createControlPlane(context)
  const requests = createDataPlane(context, control)
  const admin = createAdminServer(context, control, requests)
  const rollouts = createRolloutController(context, control)
  requests.peerServer.on('upgrade', control.acceptUpgrade)

  return {
    start: async () => {
      await listenOn(requests.peerServer, parseSocketAddress(settings.listen.peers))
      await listenOn(requests.callerServer, parseSocketAddress(settings.listen.requests))
      await listenOn(admin, parseSocketAddress(settings.listen.admin))
      control.start()
      requests.start()
      rollouts.start()
      if (settings.backend !== undefined) control.announce({ state: 'serving' })
      context.log('daemonStarted', { incarnation: context.identity.incarnation, listen: settings.listen })
    },
    stop: async () => {
      context.log('daemonStopping')
      control.announce({ state: 'draining' })
      await Promise.all([requests.drain(), rollouts.stop()])
      control.announce({ state: 'left' })
      control.stop()
      admin.closeAllConnections()
      await Promise.all([closeServer(requests.callerServer), closeServer(requests.peerServer), closeServer(admin)])
      context.log('daemonStopped')
    }
  }
}
