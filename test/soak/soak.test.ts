import { build } from 'esbuild';
import { beforeAll, describe, expect, it } from 'vitest';
import { BUNDLE } from './gateway-process.js';
import { runSoak, soakFolder } from './soak-run.js';

const SEED = 21;
const FAULT_MS = 10_000;

describe('gateways under faults', () => {
  beforeAll(async () => {
    const target = { bundle: true, platform: 'node', target: 'node20', format: 'cjs' } as const;
    await build({ entryPoints: ['platform/main.ts'], outfile: BUNDLE, ...target });
  });

  it('break no promise in a short soak on real processes', async () => {
    const folder = soakFolder(SEED);
    const result = await runSoak({ seed: SEED, faultMs: FAULT_MS, folder });
    expect(result.violations).toEqual([]);
    expect(result.faults).toBeGreaterThan(5);
    expect(result.served).toBeGreaterThan(result.calls / 2);
  });
});
