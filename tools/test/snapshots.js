import { use } from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'

// In CI a missing snapshot is a failure, not a new snapshot.
use(jestSnapshotPlugin())
