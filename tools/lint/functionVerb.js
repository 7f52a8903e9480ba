import { readFileSync } from 'node:fs'

const page = readFileSync(new URL('../../docs/verbs.md', import.meta.url), 'utf8')
const verbs = new Set([...page.matchAll(/^\| `([a-z]+)` \|/gm)].map((match) => match[1]))

/** Requires named functions to begin with a verb that is listed in docs/verbs.md. */
export const functionVerb = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' begins with '{{found}}'; expected a verb listed in docs/verbs.md." }
  },
  create (context) {
    function check (identifier) {
      const found = /^[a-z]+/.exec(identifier.name)?.[0] ?? identifier.name
      if (!verbs.has(found)) context.report({ node: identifier, messageId: 'verb', data: { name: identifier.name, found } })
    }
    return {
      FunctionDeclaration: (node) => { if (node.id) check(node.id) },
      VariableDeclarator: (node) => {
        const isFunction = node.init?.type === 'ArrowFunctionExpression' || node.init?.type === 'FunctionExpression'
        if (isFunction && node.id.type === 'Identifier') check(node.id)
      }
    }
  }
}
