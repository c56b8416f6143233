/*
 * Failure: a daemon that was stopped during its start added itself to the platform's list of daemons after it had
 * removed itself, and then ended. The list kept an entry without a daemon, so each tenant's limit was divided
 * among one daemon too many until that daemon was started again.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { GatewayHarness } from './gateway-harness.js';

describe('a stop during the start of the daemon', () => {
  let harness: GatewayHarness | undefined;

  afterEach(() => harness?.stop());

  it.each([0, 1, 5])('leaves no entry in the list of daemons (after %i turns)', async (turns) => {
    harness = await GatewayHarness.prepare();
    const started = harness.gateway.start();
    for (let turn = 0; turn < turns; turn++) await new Promise(setImmediate);
    await harness.gateway.drain();
    await started;
    await new Promise((resolve) => setTimeout(resolve, 700));
    const entries = [...harness.records.keys()].filter((key) => key.startsWith('members/'));
    expect(entries).toEqual([]);
  });
});
