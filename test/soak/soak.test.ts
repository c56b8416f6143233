import { build } from 'esbuild';
import { beforeAll, describe, expect, it } from 'vitest';
import { BUNDLE } from './gateway-process.js';
import { runSoak, soakFolder } from './soak-run.js';

const SEED = 21;
const FAULT_MS = 10_000;
/** Draws stops of the owner and connections that go silent. */
const FURTHER_SEED = 50;
const FURTHER_FAULT_MS = 12_000;

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

  it('break no promise under further faults, with callers that keep connections', async () => {
    const result = await runSoak({
      seed: FURTHER_SEED,
      faultMs: FURTHER_FAULT_MS,
      folder: soakFolder(FURTHER_SEED),
      faultKinds: 'further',
      keptCallers: 4,
      checksEpochs: false,
      promisesRevocation: false,
    });
    expect(result.violations).toEqual([]);
    expect(result.faults).toBe(4);
    expect(result.served).toBeGreaterThan(result.calls / 2);
  });
});
