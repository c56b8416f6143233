/*
 * Guards against a daemon that SIGHUP ends, with the requests in flight cut: the signal says that the settings file
 * has changed, or that a terminal has closed, and its default action ends a process that has no handler.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { AdminClient } from '../../src/client/admin-client.js';
import { callModel, promptAtEngine, type ModelResponse } from '../../src/client/model-client.js';
import { hashKey } from '../../src/core/admission/api-keys.js';
import { expectedAnswer } from '../../src/standin/expected-answer.js';
import { ADMIN_KEY, LocalCluster, waitFor } from '../../src/testbed/local-cluster.js';

const KEY = 'till-key';
/** Length of a stream that takes a second. */
const STREAM_TOKENS = 100;
const PROMPT = `hello tokens=${STREAM_TOKENS}`;
const TEMPLATE = {
  kind: 'Template',
  name: 'service',
  service: { model: { name: 'm', gigabytes: 1 }, keepAlive: { policy: 'forever' } },
};
const TENANT = { kind: 'Tenant', name: 'till', template: 'service', keyHashes: [hashKey(KEY)] };

describe('a daemon that receives SIGHUP', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    cluster = await LocalCluster.start({
      zones: [{ zone: 'a', site: 'old' }],
      daemonsPerZone: 1,
      enginesPerZone: 1,
    });
    const client = new AdminClient(cluster.daemons[0]?.callers ?? '', ADMIN_KEY);
    await client.put('templates', 'service', TEMPLATE);
    await client.put('tenants', 'till', TENANT);
    client.close();
    await waitFor('the tenant', 10_000, async () => (await stream(1)).outcome === 'whole');
  });

  afterAll(() => cluster.stop());

  function stream(maxTokens: number, onToken?: () => void): Promise<ModelResponse> {
    const server = cluster.daemons[0]?.callers ?? '';
    const call = { server, key: KEY, model: 'till', prompt: PROMPT, maxTokens, stream: true };
    return callModel({ ...call, timeoutMs: 10_000, ...(onToken === undefined ? {} : { onToken }) });
  }

  it('finishes the stream in flight, logs the signal and serves on', async () => {
    const daemon = cluster.daemons[0];
    let tokens = 0;
    const { outcome, text } = await stream(STREAM_TOKENS, () => {
      tokens += 1;
      if (tokens === 1) daemon?.process.signal('SIGHUP');
    });
    const answer = expectedAnswer(promptAtEngine(PROMPT), STREAM_TOKENS);
    expect({ outcome, text }).toEqual({ outcome: 'whole', text: answer });
    expect(cluster.readLog(daemon?.name ?? '')).toContain('event=settings_signal');
    expect(daemon?.process.isRunning).toBe(true);
    expect((await stream(1)).outcome).toBe('whole');
  });
});
