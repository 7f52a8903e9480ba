// Stand-in for the platform's metadata store: the calls of PROTOCOL.md that the nodes make, without faults.
import { createServer } from 'node:http'

const ANSWER_MS = 4
const PAGE_ROWS = 500

const formatId = ({ table, part, key }) => JSON.stringify([table, part ?? '', key])

/** Starts a store; `putOperatorRow` is the operator's write, and its return is the ack. */
export async function startStore (host) {
  const rows = new Map()
  const changes = []
  const pendingReads = new Set()
  let version = 0

  function apply (puts, removals) {
    version += 1
    for (const put of puts) {
      const row = { ...put, part: put.part ?? '', 'version-number': version }
      rows.set(formatId(put), row)
      changes.push(row)
    }
    for (const { table, part = '', key } of removals) {
      rows.delete(formatId({ table, part, key }))
      changes.push({ table, part, key, removed: true, 'version-number': version })
    }
    for (const endRead of [...pendingReads]) endRead()
  }

  const stamp = (body) => ({ ...body, 'version-number': version, 'now-ms': performance.now() })

  function transact (transaction) {
    const expected = transaction['expected-revision'] ?? []
    const puts = transaction.puts ?? []
    const removals = transaction.removals ?? []
    if ([...puts, ...removals].some(({ table }) => table === 'op' || table === 'servers')) return [403, {}]
    const isMet = (row) => (rows.get(formatId(row))?.['version-number'] ?? 0) === row['version-number']
    if (!expected.every(isMet)) return [412, stamp({ rows: expected.flatMap((row) => rows.get(formatId(row)) ?? []) })]
    apply(puts, removals)
    return [200, stamp({})]
  }

  function readPage (query) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const found = [...rows.values()].filter(({ table, part, key }) => table === query.get('table') &&
      part === (query.get('part') ?? '') && key >= from && (to === null || key < to))
    found.sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)))
    return [200, stamp({ rows: found.slice(0, PAGE_ROWS), truncated: found.length > PAGE_ROWS })]
  }

  const listChanges = (query) => changes.filter((row) =>
    row.table === query.get('table') && row['version-number'] > Number(query.get('after')))

  function respond (response, [status, body]) {
    const text = JSON.stringify(body)
    setTimeout(() => {
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }, ANSWER_MS)
  }

  function readFeed (query, response) {
    function endRead () {
      pendingReads.delete(endRead)
      clearTimeout(timer)
      respond(response, [200, stamp({ rows: listChanges(query) })])
    }
    const timer = setTimeout(endRead, Math.min(30_000, Number(query.get('wait-ms') ?? 0)))
    pendingReads.add(endRead)
    response.on('close', () => {
      pendingReads.delete(endRead)
      clearTimeout(timer)
    })
    if (listChanges(query).length > 0) endRead()
  }

  const server = createServer((incoming, response) => {
    const chunks = []
    incoming.on('data', (chunk) => chunks.push(chunk))
    incoming.on('end', () => {
      const { pathname, searchParams } = new URL(incoming.url, 'http://store')
      if (pathname === '/rows-tx') respond(response, transact(JSON.parse(Buffer.concat(chunks).toString())))
      else if (pathname === '/rows-get') respond(response, readPage(searchParams))
      else if (pathname === '/rows-feed') readFeed(searchParams, response)
      else respond(response, [404, {}])
    })
  })
  await new Promise((resolve) => { server.listen(0, host, resolve) })
  return {
    address: `${host}:${server.address().port}`,
    putOperatorRow: (key, value) => {
      if (value === undefined) apply([], [{ table: 'op', key }])
      else apply([{ table: 'op', key, value: Buffer.from(JSON.stringify(value)).toString('base64') }], [])
    },
    readRow: (table, key) => {
      const row = rows.get(formatId({ table, key }))
      return row === undefined ? undefined : Buffer.from(row.value, 'base64').toString()
    },
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
