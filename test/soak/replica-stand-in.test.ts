import { afterEach, describe, expect, it } from 'vitest';
import { HttpClient } from '../../src/common/http-client.js';
import { ObjectStoreStandIn } from './object-store-stand-in.js';
import { ReplicaStandIn } from './replica-stand-in.js';
import { RunLog } from './run-log.js';
import { SeededRandom } from './seeded-random.js';

const STATUS_FENCED = 412;

describe('the stand-in for a replica', () => {
  const client = new HttpClient();
  const log = new RunLog();
  const started: ReplicaStandIn[] = [];

  afterEach(() => {
    for (const replica of started) replica.end();
  });

  async function start(checksEpochs: boolean): Promise<ReplicaStandIn> {
    const random = new SeededRandom(1);
    const store = new ObjectStoreStandIn(random);
    const names = { name: 'r', service: 'models', models: ['m1'] };
    const replica = new ReplicaStandIn({
      ...names,
      hasModels: true,
      store,
      log,
      random,
      checksEpochs,
    });
    await replica.start();
    started.push(replica);
    return replica;
  }

  async function order(replica: ReplicaStandIn, holder: string, fence: number): Promise<number> {
    const body = { operation: 'model_load', model: 'm1', expectedCount: 0, holder, fence };
    const { address } = replica;
    const request = { method: 'POST', path: '/-/order', address, body, timeoutMs: 1_000 } as const;
    const response = await client.send(request);
    return response.isOk ? response.value.status : 0;
  }

  it('rejects a lower epoch and records no violation if it checks epochs', async () => {
    const replica = await start(true);
    await order(replica, 'new', 4);
    expect(await order(replica, 'old', 3)).toBe(STATUS_FENCED);
    expect(log.violations).toEqual([]);
  });

  it('accepts a lower epoch and records the sender of the order if it does not check epochs', async () => {
    const replica = await start(false);
    expect(await order(replica, 'old', 3)).toBe(200);
    await order(replica, 'new', 4);
    expect(log.violations).toEqual([]);
    expect(await order(replica, 'old', 3)).toBe(200);
    expect(log.violations).toMatchObject([{ kind: 'lower_epoch', sender: 'old' }]);
  });
});
