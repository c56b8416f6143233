/** Guards against responses without an end: each took memory and processor until the timeout of its call, or for good. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ObjectStore } from '../../platform/object-store.js';
import { ServerControl } from '../../platform/server-control.js';
import { HttpClient, type TransportFailure } from '../../src/common/http-client.js';
import { silentLogger } from '../../src/common/logger.js';
import { HttpEngineClient } from '../../src/engines/http-engine-client.js';
import { BackendAgent } from '../../src/gateway/backend-agent.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { HttpPlatformClient } from '../../src/platform/http-platform-client.js';
import { EndlessBackend, ENDLESS_ANSWERS } from '../gateway/endless-backend.js';
import { pause } from '../gateway/gateway-harness.js';

const MAX_RESPONSE_BYTES = 256 * 1024;
const TIMEOUT_MS = 5_000;
const MAX_END_MS = 1_500;
/** What the kernel and Node may hold of a connection beyond what is kept. */
const CONNECTION_BYTES = 12 * 1024 * 1024;
const FENCE = { holder: 'a', epoch: 1, expectedSequence: 1, maySend: () => true };

describe('a response without an end', () => {
  let server: EndlessBackend;

  beforeEach(async () => {
    server = new EndlessBackend('server');
    server.isAlwaysEndless = true;
    await server.start();
  });
  afterEach(() => server.stop());

  /** Expects that a call ends before its timeout, with its connection closed. */
  async function expectEndedEarly<Value>(call: Promise<Value>): Promise<Value> {
    const startedAt = performance.now();
    const result = await call;
    expect(performance.now() - startedAt).toBeLessThan(MAX_END_MS);
    await pause(100);
    expect(server.runs.map(({ isClosed }) => isClosed)).toEqual([true]);
    return result;
  }

  it.each(Object.keys(ENDLESS_ANSWERS))('counts as lost: %s', async (kind) => {
    server.endless = ENDLESS_ANSWERS[kind] ?? server.endless;
    const client = new HttpClient({ maxResponseBytes: MAX_RESPONSE_BYTES });
    const { address } = server;
    const call = client.send({ method: 'GET', address, path: '/', timeoutMs: TIMEOUT_MS });
    const result = await expectEndedEarly(call);
    expect(result.isErr && result.error.reason).toBe('lost');
    expect(server.runs[0]?.sentBytes).toBeLessThan(MAX_RESPONSE_BYTES + CONNECTION_BYTES);
    client.close();
  });

  it('ends a stream of lines within one line', async () => {
    server.endless = ENDLESS_ANSWERS['a body in chunks'] ?? server.endless;
    const client = new HttpClient({ maxResponseBytes: MAX_RESPONSE_BYTES });
    const { address } = server;
    const ended = new Promise<TransportFailure | undefined>((resolve) => {
      const request = { method: 'GET', address, path: '/', timeoutMs: TIMEOUT_MS } as const;
      client.stream(request, { onStart: () => true, onLine: () => {}, onEnd: resolve });
    });
    expect((await expectEndedEarly(ended))?.reason).toBe('lost');
    client.close();
  });

  it('to an order leaves its outcome unknown', async () => {
    server.endless = () => ({ start: 'HTTP/1.1 202 X\r\n\r\n', repeated: 'x'.repeat(1_000) });
    const control = new ServerControl(new BackendAgent({ onUnexpectedBytes: () => {} }));
    const order = { operation: 'load', model: 'm', adapter: undefined } as const;
    const outcome = control.order(server.record(), order, FENCE);
    expect((await expectEndedEarly(outcome)).type).toBe('unknown');
    expect(server.runs[0]?.sentBytes).toBeLessThan(CONNECTION_BYTES);
  });

  it('to a request for a report is no report', async () => {
    server.endless = ENDLESS_ANSWERS['a body in chunks'] ?? server.endless;
    const control = new ServerControl(new BackendAgent({ onUnexpectedBytes: () => {} }));
    expect(await expectEndedEarly(control.report(server.record()))).toBeUndefined();
    expect(server.runs[0]?.sentBytes).toBeLessThan(CONNECTION_BYTES);
  });

  it('of a store is a lost reply', async () => {
    server.endless = ENDLESS_ANSWERS['a body in chunks'] ?? server.endless;
    const store = new ObjectStore(server.address, new GatewayMetrics(), silentLogger);
    const list = await expectEndedEarly(store.list('servers', false));
    expect(list.isErr && list.error.type).toBe('lost');
    store.close();
  });

  it('of an engine is a lost reply', async () => {
    server.endless = ENDLESS_ANSWERS['a body in chunks'] ?? server.endless;
    const engines = new HttpEngineClient();
    const status = await expectEndedEarly(engines.status(server.address));
    expect(status.isErr && status.error.reason).toBe('lost');
    expect(server.runs[0]?.sentBytes).toBeLessThan(CONNECTION_BYTES);
    engines.close();
  });

  it('of a platform is an error', async () => {
    server.endless = ENDLESS_ANSWERS['a body in chunks'] ?? server.endless;
    const platform = new HttpPlatformClient(server.address);
    const list = await expectEndedEarly(platform.list());
    expect(list.isErr && list.error.kind).toBe('platform_unavailable');
    platform.close();
  });
});

describe('a large response', () => {
  it('comes whole', async () => {
    const server = new EndlessBackend('server');
    const body = 'x'.repeat(MAX_RESPONSE_BYTES / 2);
    server.whole = () => `HTTP/1.1 200 X\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    await server.start();
    const client = new HttpClient({ maxResponseBytes: MAX_RESPONSE_BYTES });
    const { address } = server;
    const headers = { 'request-id': 'large' };
    const request = { method: 'GET', address, path: '/', headers, timeoutMs: TIMEOUT_MS } as const;
    const result = await client.send(request);
    expect(result.isOk && result.value.body.length).toBe(body.length);
    client.close();
    server.stop();
  });
});
