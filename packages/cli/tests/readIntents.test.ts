import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { formatProblem } from '@snipenotch/contracts'
import { expect } from 'chai'
import { readIntents } from '../src/readIntents.js'

const intent = (service: string, extra = ''): string => `service = "${service}"\nstable = "v1"\n${extra}`

describe('readIntents', () => {
  let directory: string

  beforeEach(() => { directory = mkdtempSync(path.join(tmpdir(), 'snipenotch-intents-')) })
  afterEach(() => { rmSync(directory, { recursive: true, force: true }) })

  function writeIntent (folder: string, text: string): void {
    mkdirSync(path.join(directory, folder), { recursive: true })
    writeFileSync(path.join(directory, folder, 'snipenotch.toml'), text)
  }

  it('finds intent files at any depth', () => {
    writeIntent('a', intent('a'))
    writeIntent('b/deep', intent('b'))
    expect(readIntents(directory).unwrap().map((file) => file.intent.service)).to.deep.equal(['a', 'b'])
  })

  const invalid: ReadonlyArray<{ name: string, write: () => void }> = [
    { name: 'an empty directory', write: () => undefined },
    { name: 'one invalid file among valid ones', write: () => { writeIntent('a', intent('a')); writeIntent('b', intent('b', 'slots = 3\n')) } },
    {
      name: 'a route to a missing service',
      write: () => {
        writeIntent('a', intent('a', '[[route]]\nname = "r"\nmethod = "GET"\npath = "/r"\nidempotent = true\nservice = "z"\n'))
      }
    },
    { name: 'two files for one service', write: () => { writeIntent('a', intent('a')); writeIntent('b', intent('a')) } }
  ]
  for (const { name, write } of invalid) {
    it(`returns no intents for ${name} (guards against a partially read directory)`, () => {
      write()
      const files = readIntents(directory)
      expect(files.isErr()).to.equal(true)
      if (files.isErr()) expect(files.error.map(formatProblem).join('\n').replaceAll(directory, 'DIR')).toMatchSnapshot()
    })
  }

  it('reports a directory that does not exist', () => {
    expect(readIntents(path.join(directory, 'absent')).isErr()).to.equal(true)
  })
})
