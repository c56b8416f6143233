import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import type { Reporter, SerializedError, TestModule, TestRunEndReason } from 'vitest/node';

const RESULTS_FOLDER = 'results';
/** Full names of the failed tests, read by `scripts/known-red.mjs`. */
const FAILURES_FILE = `${RESULTS_FOLDER}/failed-tests.json`;

/** Prints the summary line that CI parses, "N passed, N failed, N skipped", and writes the names of failed tests to a file. */
export default class SummaryReporter implements Reporter {
  onTestRunStart(): void {
    rmSync(FAILURES_FILE, { force: true });
  }

  onTestRunEnd(
    modules: readonly TestModule[],
    errors: readonly SerializedError[],
    reason: TestRunEndReason,
  ): void {
    const counts = { passed: 0, failed: 0, skipped: 0 };
    const failures = errors.map((error) => `outside of a test: ${error.message}`);
    if (reason === 'interrupted') failures.push('the run was interrupted');
    for (const module of modules) {
      const tests = [...module.children.allTests()];
      const suites = [module, ...module.children.allSuites()];
      const suiteErrors = suites.flatMap((suite) => suite.errors());
      failures.push(...suiteErrors.map(({ message }) => `${module.relativeModuleId}: ${message}`));
      if (suiteErrors.length > 0 && tests.length === 0) counts.failed += 1;
      for (const test of tests) {
        const { state } = test.result();
        counts[state === 'pending' ? 'skipped' : state] += 1;
        if (state === 'failed') failures.push(`${module.relativeModuleId} > ${test.fullName}`);
      }
    }
    mkdirSync(RESULTS_FOLDER, { recursive: true });
    writeFileSync(FAILURES_FILE, JSON.stringify(failures, undefined, 2));
    const { passed, failed, skipped } = counts;
    process.stdout.write(`${passed} passed, ${failed} failed, ${skipped} skipped\n`);
  }
}
