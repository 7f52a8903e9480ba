#!/usr/bin/env node
import { cac } from 'cac'
import { printLatencyBench } from '../bench/latency.js'

const cli = cac('latencyBench')
cli.option('--rates <list>', 'Comma-separated request rates per second', { default: '200,1000,3000' })
cli.option('--rounds <count>', 'Number of times to run each case', { default: 3 })
cli.option('--duration <ms>', 'Measurement time per case in milliseconds', { default: 4000 })
cli.option('--profile <directory>', 'Write CPU profiles of the daemons to this directory')
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
