#!/usr/bin/env node
import { cac } from 'cac'
import { printLatencyBench } from '../bench/latency.js'

const cli = cac('latencyBench')
cli.option('--rates <list>', 'Requests a second, separated by commas', { default: '200,1000,3000' })
cli.option('--rounds <count>', 'Rounds of all cases', { default: 3 })
cli.option('--duration <ms>', 'Measured time of each case', { default: 4000 })
cli.option('--profile <directory>', 'Write CPU profiles of the daemons there')
cli.help()
const { options } = cli.parse()
const { rates, rounds, duration, profile } = options as {
  rates: string | number, rounds: number, duration: number, profile?: string
}
await printLatencyBench({
  rates: String(rates).split(',').map(Number),
  rounds,
  durationMs: duration,
  ...(profile === undefined ? {} : { profileDirectory: profile })
})
