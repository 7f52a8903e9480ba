import { readFileSync } from 'node:fs'

const verbsPage = readFileSync(new URL('../../docs/verbs.md', import.meta.url), 'utf8')
const verbs = new Set([...verbsPage.matchAll(/^\| `([a-z]+)` \|/gm)].map((match) => match[1]))

/** ESLint rule that requires function names to begin with a verb listed in docs/verbs.md. */
export const functionVerb = {
  meta: {
    type: 'suggestion',
    schema: [],
    messages: { verb: "Function '{{name}}' begins with '{{found}}'; expected a verb listed in docs/verbs.md." }
  },
  create (context) {
    function checkName (identifier) {
      const found = /^[a-z]+/.exec(identifier.name)?.[0] ?? identifier.name
      if (!verbs.has(found)) context.report({ node: identifier, messageId: 'verb', data: { name: identifier.name, found } })
    }
    return {
      FunctionDeclaration: (node) => { if (node.id) checkName(node.id) },
      VariableDeclarator: (node) => {
        const isFunction = node.init?.type === 'ArrowFunctionExpression' || node.init?.type === 'FunctionExpression'
        if (isFunction && node.id.type === 'Identifier') checkName(node.id)
      }
    }
  }
}
