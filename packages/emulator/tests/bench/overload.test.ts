import { expect } from 'chai'
import { formatOverloadTable, runOverloadBench } from '../../src/bench/overload.js'

const SEEDS = [1, 2, 3]

describe('runOverloadBench', () => {
  for (const seed of SEEDS) {
    const { capacity, overload, coldStart, ledger } = runOverloadBench({ seed })

    it(`seed ${seed}: keeps goodput near capacity at two and four times the capacity (guards against an unbounded queue)`, () => {
      for (const { load, admitted, naive } of overload) {
        const best = Math.min(capacity, load * capacity)
        expect(admitted.goodput, `${load}x`).to.be.above(0.93 * best)
        expect(admitted.orders, `orders at ${load}x`).to.be.above(0.98)
        if (load >= 2) expect(naive.goodput, `naive at ${load}x`).to.be.below(0.3 * capacity)
      }
    })

    for (const { scenario, ramped, naive } of coldStart) {
      it(`seed ${seed}, ${scenario}: ramps up without repeated crashes (guards against sending the full load to a cold server)`, () => {
        expect(ramped.falls).to.be.at.most(naive.falls / 10)
        expect(ramped.finalGoodput).to.be.above(5 * naive.finalGoodput)
        const offered = ramped.sent / 30
        expect(ramped.finalGoodput).to.be.above(0.9 * offered)
      })
    }

    it(`seed ${seed}: keeps all idempotency records within 64 MB (guards against 128 MB per node)`, () => {
      const bytes = ledger.records * Math.max(ledger.completed, ledger.answered) + ledger.records * ledger.refused
      expect(bytes).to.be.below(64 * 1_048_576)
    })
  }

  it('formats a line for each load and scenario (guards against results missing from the table)', () => {
    const table = formatOverloadTable(runOverloadBench({ seed: 1 }))
    for (const start of ['0.5x', '1x', '2x', '4x', 'one cold server', 'turns cold', '8 cold servers', 'ledger']) {
      expect(table).to.match(new RegExp(`^ *${start}`, 'm'))
    }
  })
})
