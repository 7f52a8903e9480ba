declare namespace Chai {
  interface Assertion {
    /** Compares the value with the stored snapshot of this test. */
    toMatchSnapshot: (hint?: string) => void
  }
}
