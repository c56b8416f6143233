import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['test/**/*.test.ts'],
    reporters: ['default', './test/summary-reporter.ts'],
    testTimeout: 180_000,
    hookTimeout: 60_000,
    // Tests with real processes would disturb one another's times.
    fileParallelism: false,
  },
});
