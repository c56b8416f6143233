/*
 * Guards against a daemon that writes an error into an answer because of what its caller sends after the request, and against one
 * whose stop cuts the second of two answers or does not end while a connection is open on which nothing was ever sent.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { AdminClient } from '../../src/client/admin-client.js';
import { sleep } from '../../src/common/process.js';
import { hashKey } from '../../src/core/admission/api-keys.js';
import { ADMIN_KEY, LocalCluster, waitFor } from '../../src/testbed/local-cluster.js';
import { RawCaller } from '../gateway/raw-caller.js';

const KEY = 'till-key';
/** A stream of these takes a second. */
const STREAM_TOKENS = 100;
/** Two streams, the time for which a stop refuses and announces itself, and a second for a busy machine. */
const STOP_MS = 5_000;
const TEMPLATE = {
  kind: 'Template',
  name: 'service',
  service: { model: { name: 'm', gigabytes: 1 }, keepAlive: { policy: 'forever' } },
};
const TENANT = { kind: 'Tenant', name: 'till', template: 'service', keyHashes: [hashKey(KEY)] };

function requestText(tokens: number): string {
  const body = JSON.stringify({
    model: 'till',
    prompt: `hello tokens=${STREAM_TOKENS}`,
    max_tokens: tokens,
    stream: true,
  });
  return (
    `POST /v1/completions HTTP/1.1\r\nhost: daemon.test\r\nauthorization: Bearer ${KEY}\r\n` +
    `content-length: ${body.length}\r\n\r\n${body}`
  );
}

describe('connections of a daemon', () => {
  let cluster: LocalCluster;
  const callers: RawCaller[] = [];

  function call(): RawCaller {
    const caller = new RawCaller(cluster.daemons[0]?.callers ?? '');
    callers.push(caller);
    return caller;
  }

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
    await waitFor('the tenant', 10_000, async () => {
      const caller = call();
      caller.write(requestText(1));
      await caller.answered();
      return caller.received.includes('[DONE]');
    });
  });

  afterAll(async () => {
    for (const caller of callers) caller.close();
    await cluster.stop();
  });

  it('carry whole streams although bytes that are no request follow the requests', async () => {
    const caller = call();
    caller.write(requestText(STREAM_TOKENS));
    await waitFor('the stream', 5_000, () => Promise.resolve(caller.received.includes('data:')));
    caller.write('no request\r\n\r\n');
    await sleep(2_000);
    expect(caller.received).not.toContain('400 Bad Request');
    expect(caller.received).toContain('[DONE]');
  });

  it('carry the answers to requests written at once, and hold no stop up if nothing comes on them', async () => {
    const daemon = cluster.daemons[0]?.process;
    const silent = call();
    const caller = call();
    caller.write(requestText(STREAM_TOKENS) + requestText(STREAM_TOKENS));
    await waitFor('the stream', 5_000, () => Promise.resolve(caller.received.includes('data:')));
    const signalAt = performance.now();
    daemon?.signal('SIGTERM');
    expect(await daemon?.waitForExit()).toEqual({ code: 0, signal: null });
    expect(performance.now() - signalAt).toBeLessThan(STOP_MS);
    expect(caller.received.match(/\[DONE\]/g)).toHaveLength(2);
    expect(silent.closedBy).toBeDefined();
  });
});
