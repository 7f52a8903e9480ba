import { composeRowVersion } from '@snipenotch/contracts'
import { expect } from 'chai'
import { decodeTableVersions, encodeTableVersions } from '../../src/peers/tableVersionsCodec.js'

describe('tableVersionsCodec', () => {
  it('hides the eras from earlier builds (guards against one that counts itself as behind and fetches rows for good)', () => {
    const versions = [composeRowVersion(1, 7), 5]
    const encoded = encodeTableVersions(versions)
    expect(encoded.filter((element) => typeof element === 'number')).to.deep.equal([7, 5])
    expect(decodeTableVersions(encoded)).to.deep.equal(versions)
    expect(encodeTableVersions([7, 5])).to.deep.equal([7, 5])
  })

  it('leaves out what cannot be read', () => {
    expect(decodeTableVersions([1, 'x', NaN, 2, ['y', -1]])).to.deep.equal([1, 2])
    expect(decodeTableVersions('x')).to.deep.equal([])
  })
})
