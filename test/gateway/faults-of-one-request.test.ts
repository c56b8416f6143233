/** Guards against an exception in the handling of one request that ends the process, and with it all other requests. */
import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { relayAddressOf } from '../../src/gateway/relay-protocol.js';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  type CallerView,
} from './gateway-harness.js';

type Method = (...passed: unknown[]) => unknown;

/** Makes the next call of a method throw. */
function throwOnce(owner: object, name: string): void {
  const original: unknown = Reflect.get(owner, name);
  if (typeof original !== 'function') throw new Error(`no method ${name}`);
  let hasThrown = false;
  const replaced: Method = (...passed) => {
    if (hasThrown) return (original as Method).apply(owner, passed);
    hasThrown = true;
    throw new Error('a defect');
  };
  Reflect.set(owner, name, replaced);
}

describe('an exception in the handling of one request', () => {
  const backend = new TestBackend('one');
  let harness: GatewayHarness;

  beforeEach(async () => {
    backend.handle = answerWhole;
    backend.arrivals = [];
    harness = await GatewayHarness.startWithBackends([backend]);
  });
  afterEach(() => {
    harness.stop();
    backend.stop();
  });

  /** Checks that the exception was reported, that others are served, and that nothing of the request is left. */
  async function expectContained(faults = 1): Promise<void> {
    const lines = harness.lines.filter(({ event }) => event === 'request_fault');
    expect(lines.length).toBe(faults);
    expect(lines[0]?.fields.reason).toMatch(/a defect[^]*\.ts:\d+/);
    const counted = await harness.metrics.faults.get();
    expect(counted.values).toMatchObject([{ value: faults, labels: { scope: 'request' } }]);
    expect((await harness.call({ id: 'next' })).status).toBe(200);
    const { exchanges, tracker } = harness.context();
    expect([exchanges.size, tracker.inFlightAt('one')]).toEqual([0, 0]);
  }

  function expectNotRun(answer: CallerView): void {
    expect(answer).toMatchObject({ status: 503, headers: { 'x-ran': 'no' } });
    expect(answer.headers['retry-after']).toBeDefined();
  }

  it('before its exchange has begun: the caller is told that it has not run', async () => {
    throwOnce(harness.context().admission, 'check');
    expectNotRun(await harness.call({ id: 'a' }));
    await expectContained();
  });

  it('before it is sent: the caller is told that it has not run', async () => {
    throwOnce(harness.context().directory, 'servingBackends');
    expectNotRun(await harness.call({ id: 'a' }));
    expect(backend.arrivals).toEqual([]);
    await expectContained();
  });

  it('while it is sent: the caller is told that it may have run', async () => {
    throwOnce(harness.context().permits, 'recordedLimit');
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
    await expectContained();
  });

  it('when its answer arrives: the caller is told that it may have run', async () => {
    throwOnce(harness.context().permits, 'recordAnswer');
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
    await expectContained();
  });

  it('after a failed attempt: the caller is told that it may have run', async () => {
    backend.handle = (_request, response) => response.writeHead(500).end();
    throwOnce(harness.context().health, 'recordFailure');
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
    backend.handle = answerWhole;
    await expectContained();
  });

  it('after its answer was written: the caller gets the whole answer', async () => {
    const body = 'x'.repeat(4_000_000);
    backend.handle = (_request, response) => response.writeHead(200, { signed: 'yes' }).end(body);
    throwOnce(harness.context().health, 'recordSuccess');
    const answer = await harness.call({ id: 'a' });
    expect(answer).toMatchObject({ status: 200, complete: true });
    expect(answer.body.length).toBe(body.length);
    backend.handle = answerWhole;
    await expectContained();
  });

  it('in a recheck of all waiting requests: the others are rechecked', async () => {
    backend.handle = (request, response) => setTimeout(() => answerWhole(request, response), 100);
    const calls = ['a', 'b', 'c'].map((id) => harness.call({ id }));
    await pause(50);
    const [first] = harness.context().exchanges;
    throwOnce(first!, 'recheckNow');
    harness.context().recheckWaiting();
    const answers = await Promise.all(calls);
    expect(answers.map(({ status }) => status).sort()).toEqual([200, 200, 502]);
    await expectContained();
  });

  it('and in its own end: the connection is closed, which promises nothing', async () => {
    throwOnce(harness.context().directory, 'servingBackends');
    throwOnce(harness.context().dialect, 'ownAnswerHeaders');
    await expect(harness.call({ id: 'a' })).rejects.toThrow('socket hang up');
    await expectContained(2);
  });

  it('of another daemon ends that request only, and does not promise that it has not run', async () => {
    const other = await GatewayHarness.start({ name: 'other' });
    other.joinGroupOf(harness);
    for (let attempt = 0; attempt < 100 && harness.liveMembers() < 2; attempt++) await pause(20);
    throwOnce(harness.context().agent, 'addRequest');
    const [host, port] = relayAddressOf(harness.peerAddress).split(':');
    const send = (path: string): Promise<number | undefined> =>
      new Promise((resolve) => {
        const request = http.request({ host, port, path, headers: { 'request-id': 'r' } });
        request.on('response', (response) => resolve(response.resume().statusCode));
        request.on('error', () => resolve(undefined));
        request.end();
      });
    expect(await send('http://one//work/x')).toBeUndefined();
    expect(await send('http://one//work/x')).toBe(200);
    expect(await send('/reachability/%E0%A4%A')).toBe(503);
    other.stop();
    const lines = harness.lines.filter(({ event }) => event.endsWith('_fault'));
    expect(lines).toMatchObject([{ event: 'relayed_request_fault', fields: { request: 'r' } }]);
  });
});
