/** Guards callers of a daemon that reaches no engine, while the other daemons, its callers and the platform still reach it. */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { AdminClient } from '../../src/client/admin-client.js';
import { callModel, type ModelResponse } from '../../src/client/model-client.js';
import { sleep } from '../../src/common/process.js';
import { hashKey } from '../../src/core/admission/api-keys.js';
import {
  ADMIN_KEY,
  LocalCluster,
  waitFor,
  type ClusterDaemon,
} from '../../src/testbed/local-cluster.js';

const KEY = 'tenant-key';
const TENANTS = ['warm', 'cold'];
/** Time within which a daemon must have noticed the partition. */
const NOTICE_MS = 3_000;
const CALLS = 12;

function template(): object {
  const service = {
    model: { name: '${model}', gigabytes: 10 },
    slots: 4,
    maxReplicas: '${maxReplicas}',
    keepAlive: { idleSeconds: 60 },
  };
  const parameters = [{ name: 'model' }, { name: 'maxReplicas' }];
  return { kind: 'Template', name: 'service', parameters, service };
}

function tenant(name: string): object {
  const parameters = { model: `model-${name}`, maxReplicas: 2 };
  return { kind: 'Tenant', name, template: 'service', parameters, keyHashes: [hashKey(KEY)] };
}

describe('a daemon that reaches no engine', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    cluster = await LocalCluster.start({
      zones: [{ zone: 'a', site: 'old' }],
      daemonsPerZone: 3,
      enginesPerZone: 2,
      engineFlags: ['--capacity-gb', '40', '--overhead-ms', '50', '--token-ms', '5'],
      weightStoreFlags: ['--gbps', '80', '--loads-per-second', '8'],
    });
    const [first] = cluster.daemons;
    const client = new AdminClient(first?.callers ?? '', ADMIN_KEY);
    await client.put('templates', 'service', template());
    for (const name of TENANTS) await client.put('tenants', name, tenant(name));
    client.close();
    for (const daemon of cluster.daemons) {
      await waitFor(`a call at ${daemon.name}`, 15_000, async () => {
        return (await call(daemon, 'warm')).outcome === 'whole';
      });
    }
  }, 60_000);

  afterAll(() => cluster.stop());

  function call(daemon: ClusterDaemon, model: string): Promise<ModelResponse> {
    const request = { server: daemon.callers, key: KEY, model, prompt: 'a', maxTokens: 4 };
    const headers = { 'x-deadline-ms': '4000' };
    return callModel({ ...request, stream: true, headers, timeoutMs: 6_000 });
  }

  async function setCut(daemon: ClusterDaemon, isCut: boolean): Promise<void> {
    const engines = isCut ? cluster.engines.map(({ address }) => address) : [];
    await cluster.setLinkFaults(daemon, engines, engines);
  }

  function owner(): ClusterDaemon {
    const found = cluster.daemons.find(({ name }) =>
      cluster.readLog(name).includes('event=pool_claimed'),
    );
    if (found === undefined) throw new Error('no daemon owns the pool');
    return found;
  }

  it('serves its callers as often as the others', async () => {
    const cut = cluster.daemons.find((daemon) => daemon !== owner());
    if (cut === undefined) throw new Error('each daemon is the owner');
    await setCut(cut, true);
    await sleep(NOTICE_MS);
    const calls = await Promise.all(Array.from({ length: CALLS }, () => call(cut, 'warm')));
    await setCut(cut, false);
    const served = calls.filter(({ outcome }) => outcome === 'whole').length;
    expect(served).toBeGreaterThanOrEqual((CALLS * 2) / 3);
  }, 30_000);

  it('does not keep the ownership of a pool whose engines the others reach', async () => {
    const cut = owner();
    const other = cluster.daemons.find((daemon) => daemon !== cut);
    if (other === undefined) throw new Error('there is one daemon only');
    await setCut(cut, true);
    await sleep(NOTICE_MS);
    const answer = await call(other, 'cold');
    await setCut(cut, false);
    expect(answer.outcome).toBe('whole');
  }, 30_000);
});
