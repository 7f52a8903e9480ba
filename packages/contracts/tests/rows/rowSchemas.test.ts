import { expect } from 'chai'
import { contactRowSchema } from '../../src/rows/rowSchemas.js'

describe('contactRowSchema', () => {
  const row = { host: 'tromso-1', peerAddress: '10.0.0.1:7000', adminAddress: '10.0.0.1:7001', writtenAt: 1 }

  it('accepts the addresses of a relay', () => {
    expect(contactRowSchema.safeParse(row).success).to.equal(true)
  })

  for (const peerAddress of ['10.0.0.1:99999', '10.0.0.1:0', '10.0.0.1', ':-4', '']) {
    it(`rejects the address "${peerAddress}" (guards against an address that throws when it is dialled)`, () => {
      expect(contactRowSchema.safeParse({ ...row, peerAddress }).success).to.equal(false)
    })
  }
})
