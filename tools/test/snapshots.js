import { use } from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'

// In CI, a missing snapshot fails the test instead of being written.
use(jestSnapshotPlugin())
