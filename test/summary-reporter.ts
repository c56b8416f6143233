import type { Reporter, TestModule } from 'vitest/node';

/** Prints the closing line that CI reads: "N passed, N failed, N skipped". */
export default class SummaryReporter implements Reporter {
  onTestRunEnd(modules: readonly TestModule[]): void {
    const counts = { passed: 0, failed: 0, skipped: 0 };
    for (const module of modules) {
      if (!module.ok() && [...module.children.allTests()].length === 0) counts.failed += 1;
      for (const test of module.children.allTests()) {
        const { state } = test.result();
        counts[state === 'pending' ? 'skipped' : state] += 1;
      }
    }
    const { passed, failed, skipped } = counts;
    process.stdout.write(`${passed} passed, ${failed} failed, ${skipped} skipped\n`);
  }
}
