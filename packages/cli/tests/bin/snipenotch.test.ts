import { expect } from 'chai'
import { normalizeRun, startCliFixture, type CliFixture } from '../startCliFixture.js'

describe('snipenotch', () => {
  let fixture: CliFixture
  beforeEach(async () => { fixture = await startCliFixture() })
  afterEach(() => fixture.stop())

  function expectNothingChanged (): void {
    expect(fixture.platform.counts.writes).to.equal(0)
    expect(fixture.nodes.flatMap(({ orders }) => orders)).to.deep.equal([])
  }

  const usage: ReadonlyArray<readonly [name: string, args: readonly string[], message: RegExp]> = [
    ['no command', [], /expected a command/],
    ['an unknown command', ['nonsense'], /nonsense/],
    ['an unknown command after options', ['--json', 'nonsense'], /nonsense/],
    ['an unknown option', ['status', '--nonsense'], /nonsense/],
    ['an unknown option of a command that changes state', ['drain', 'host/krakow-1', '--nonsense'], /nonsense/],
    ['an option of another command', ['drain', 'host/krakow-1', '--limit', '3'], /limit/],
    ['publish without a directory', ['publish'], /dir/],
    ['check without a directory', ['check'], /dir/],
    ['explain without a path', ['explain', 'GET'], /path/],
    ['drain without a subject', ['drain'], /subject/],
    ['restore without a subject', ['restore'], /subject/],
    ['one argument too many', ['drain', 'host/krakow-1', 'host/krakow-2'], /krakow-2/],
    ['a limit that is not a number', ['history', '--limit', 'many'], /limit/],
    ['a limit of zero', ['history', '--limit', '0'], /limit/],
    ['a wait that is not a number', ['drain', 'host/krakow-1', '--wait', 'long'], /wait/],
    ['a negative wait', ['drain', 'host/krakow-1', '--wait=-3'], /wait/]
  ]
  for (const [name, args, message] of usage) {
    it(`exits 2 with a message for ${name} (guards against changes caused by a mistyped command)`, async () => {
      const { code, stderr } = await fixture.run(...args)
      expect(code).to.equal(2)
      expect(stderr).to.match(message)
      expectNothingChanged()
    })
  }

  it('prints help with exit code 0', async () => {
    const { code, stdout } = await fixture.run('--help')
    expect(code).to.equal(0)
    expect(stdout).to.contain('publish <dir>')
  })

  const settings: ReadonlyArray<readonly [name: string, change: (text: string) => string]> = [
    ['text that is not TOML', () => 'contacts = ['],
    ['a misspelled key', (text) => text.replace('operator =', 'operater =')],
    ['a short secret', (text) => text.replace(/operators = ".*"/, 'operators = "short"')],
    ['a host name instead of an IP address', (text) => text.replace(/table = ".*"/, 'table = "store:9000"')],
    ['a port above 65535', (text) => text.replace(/table = ".*"/, 'table = "127.0.0.1:99999"')],
    ['no platform', (text) => text.replace(/\[platform\][^[]*/, '')]
  ]
  for (const [name, change] of settings) {
    it(`exits 1 for settings with ${name} and reports the location (guards against the use of partially read settings)`, async () => {
      fixture.writeSettings(change)
      const run = await fixture.run('drain', 'host/krakow-1')
      expect(run.code).to.equal(1)
      expect(normalizeRun(run, fixture.directory)).toMatchSnapshot()
      expectNothingChanged()
    })
  }

  it('exits 1 for settings that do not exist', async () => {
    const { code, stderr } = await fixture.run('status', '--settings', 'absent.toml')
    expect(code).to.equal(1)
    expect(stderr).to.contain('absent.toml')
  })
})
