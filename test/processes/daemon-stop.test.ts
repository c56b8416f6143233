/*
 * A daemon of our own interface that was asked to stop twice ended at the second signal, by its default action: the
 * handler took the first one only. Requests in flight were cut, as at the gateway.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { sleep } from '../../src/common/process.js';
import { LocalCluster } from '../../src/testbed/local-cluster.js';

describe('a daemon that is asked to stop twice', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    cluster = await LocalCluster.start({
      zones: [{ zone: 'a', site: 'old' }],
      daemonsPerZone: 1,
      enginesPerZone: 1,
    });
  });

  afterAll(() => cluster.stop());

  it('ends by itself, when all is done', async () => {
    const daemon = cluster.daemons[0]?.process;
    daemon?.signal('SIGTERM');
    await sleep(200);
    daemon?.signal('SIGTERM');
    await sleep(100);
    daemon?.signal('SIGINT');
    expect(await daemon?.waitForExit()).toEqual({ code: 0, signal: null });
  });
});
