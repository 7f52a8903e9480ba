import { expect } from 'chai'
import { HANDSHAKE_HOST, HANDSHAKE_SIGNATURE, signHandshake, verifyHandshake } from '../../src/control/handshake.js'

const SECRET = 's'.repeat(32)
const PEER = { host: 'krakow-1', incarnation: 1_700_000_000_000_123 }
const WALL = 1_700_000_000_000

describe('verifyHandshake', () => {
  const signed = signHandshake(SECRET, PEER, WALL)
  const cases: Array<{ name: string, headers: Record<string, string>, wall: number, secret?: string, ok: boolean }> = [
    { name: 'a valid signature', headers: signed, wall: WALL + 59_000, ok: true },
    { name: 'a signature older than 60 s', headers: signed, wall: WALL + 61_000, ok: false },
    { name: 'a signature from the future', headers: signed, wall: WALL - 61_000, ok: false },
    { name: 'another secret', headers: signed, wall: WALL, secret: 't'.repeat(32), ok: false },
    { name: 'another host with the same signature', headers: { ...signed, [HANDSHAKE_HOST]: 'krakow-2' }, wall: WALL, ok: false },
    { name: 'a short signature', headers: { ...signed, [HANDSHAKE_SIGNATURE]: 'ab' }, wall: WALL, ok: false },
    { name: 'a signed time that is not a number', headers: signHandshake(SECRET, PEER, NaN), wall: WALL, ok: false },
    { name: 'a signed host that is not a valid name', headers: signHandshake(SECRET, { ...PEER, host: 'A B' }, WALL), wall: WALL, ok: false },
    { name: 'no headers', headers: {}, wall: WALL, ok: false }
  ]
  for (const { name, headers, wall, secret = SECRET, ok } of cases) {
    it(`${ok ? 'accepts' : 'refuses'} ${name} (guards against peers that do not know the mesh secret)`, () => {
      const verified = verifyHandshake(secret, headers, wall)
      expect(verified.isOk()).to.equal(ok)
      if (verified.isOk()) expect(verified.value).to.deep.equal(PEER)
    })
  }
})
