/*
 * Guards against a daemon that ends at the second stop signal and cuts the requests in flight: its handler handled
 * only the first signal, so the second one ended the process by the default action. The gateway had the same fault.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { sleep } from '../../src/common/process.js';
import { LocalCluster } from '../../src/testbed/local-cluster.js';

describe('a daemon that receives several stop signals', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    cluster = await LocalCluster.start({
      zones: [{ zone: 'a', site: 'old' }],
      daemonsPerZone: 1,
      enginesPerZone: 1,
    });
  });

  afterAll(() => cluster.stop());

  it('finishes its drain and exits with code 0', async () => {
    const daemon = cluster.daemons[0]?.process;
    daemon?.signal('SIGTERM');
    await sleep(200);
    daemon?.signal('SIGTERM');
    await sleep(100);
    daemon?.signal('SIGINT');
    expect(await daemon?.waitForExit()).toEqual({ code: 0, signal: null });
  });
});
