import type { Server } from 'node:http'
import { createSystemClock, type DaemonSettings, type HostAndPort, parseSocketAddress } from '@snipenotch/contracts'
import { HttpObjectStore, HttpTableService } from '@snipenotch/store'
import { createAdminServer } from './admin/createAdminServer.js'
import { createControlPlane } from './control/createControlPlane.js'
import { createNodeIdentity } from './node/createNodeIdentity.js'
import type { NodeContext } from './node/NodeContext.js'
import { createCounters } from './observability/createCounters.js'
import { createEventLog } from './observability/createEventLog.js'
import { createDataPlane } from './requests/createDataPlane.js'
import { createRolloutController } from './rollouts/createRolloutController.js'

/** A node process of the mesh. */
export interface Daemon {
  /** Starts the daemon; resolves when all ports are listening. */
  readonly start: () => Promise<void>
  /** Drains requests, announces that the host has left, closes the ports and resolves. */
  readonly stop: () => Promise<void>
}

function createContext (settings: DaemonSettings): NodeContext {
  const clock = createSystemClock()
  return {
    settings,
    clock,
    identity: createNodeIdentity(settings, clock),
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
  return new Promise((resolve) => { server.close(() => resolve()) })
}

/** Creates a daemon from validated settings; it opens no ports until `start` is called. */
export function createDaemon (settings: DaemonSettings): Daemon {
  const context = createContext(settings)
  const control = createControlPlane(context)
  const dataPlane = createDataPlane(context, control)
  const admin = createAdminServer(context, control, dataPlane)
  const rolloutController = createRolloutController(context, control)
  dataPlane.peerServer.on('upgrade', control.acceptUpgrade)

  return {
    start: async () => {
      await listenOn(dataPlane.peerServer, parseSocketAddress(settings.listen.peers))
      await listenOn(dataPlane.callerServer, parseSocketAddress(settings.listen.requests))
      await listenOn(admin, parseSocketAddress(settings.listen.admin))
      control.start()
      dataPlane.start()
      rolloutController.start()
      if (settings.backend !== undefined) control.announce({ state: 'serving' })
      context.log('daemonStarted', { incarnation: context.identity.incarnation, listen: settings.listen })
    },
    stop: async () => {
      context.log('daemonStopping')
      control.announce({ state: 'draining' })
      await Promise.all([dataPlane.drain(), rolloutController.stop()])
      control.announce({ state: 'left' })
      control.stop()
      await Promise.all([closeServer(dataPlane.callerServer), closeServer(dataPlane.peerServer), closeServer(admin)])
      context.log('daemonStopped')
    }
  }
}
