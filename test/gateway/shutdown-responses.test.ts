/*
 * Guards against requests to a backend that has announced its shutdown in a response header. The gateway ignored the header and
 * sent requests until the store acknowledged the shutdown: still 5.1 s after the response in one case, where the store took
 * 12.7 s. The gateway logs such a request as `sent backend=... backends=8`, without the age of its list.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  answerEvents,
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type BackendHandler,
} from './gateway-harness.js';

const REQUESTS = 20;

/** Responds as usual, and announces the backend's shutdown. */
const answerLeaving: BackendHandler = (request, response) => {
  response.setHeader('leaving', '1');
  answerWhole(request, response);
};

describe('a backend that announces its shutdown in its responses', () => {
  let harness: GatewayHarness;
  let one: TestBackend;
  let two: TestBackend;

  beforeEach(async () => {
    one = new TestBackend('one', answerLeaving);
    two = new TestBackend('two');
    harness = await GatewayHarness.startWithBackends([one, two]);
  });

  afterEach(() => {
    harness.stop();
    for (const backend of [one, two]) backend.stop();
  });

  async function callMany(): Promise<number[]> {
    const statuses: number[] = [];
    for (let call = 0; call < REQUESTS; call++) {
      statuses.push((await harness.call({ id: `c${call}` })).status);
    }
    return statuses;
  }

  it('gets no request after the first response', async () => {
    const statuses = await callMany();
    expect(statuses).toEqual(statuses.map(() => 200));
    expect(one.arrivals.length).toBeLessThanOrEqual(1);
    expect(two.arrivals.length).toBeGreaterThanOrEqual(REQUESTS - 1);
  });

  /** Checks that no further request reaches the backend. */
  async function expectNoMore(): Promise<void> {
    const before = one.arrivals.length;
    await callMany();
    expect(one.arrivals.length).toBe(before);
  }

  it('gets no request even if an older or newer list shows it as ready', async () => {
    await callMany();
    harness.list([one.record({ revision: 9 }), two.record()]);
    await expectNoMore();
    harness.list([one.record({ revision: 1 }), two.record()]);
    await expectNoMore();
  });

  it.each([
    ['a refusal', { status: 503, headers: { 'not-run': 'yes' } }],
    ['a signed failure', { status: 500, headers: { signed: 'yes' } }],
    ['an unsigned failure', { status: 500, headers: {} }],
  ])('may announce it in %s', async (_name, { status, headers }) => {
    one.handle = (_request, response) => {
      response.writeHead(status, { ...headers, leaving: '1' }).end();
    };
    await callMany();
    expect(one.arrivals.length).toBeLessThanOrEqual(1);
  });

  it('may announce it in the header of a stream, which continues', async () => {
    const stream = testRoute({ repeatability: 'resumable_stream' });
    harness.configure(testConfiguration({ version: 2, routes: [stream] }));
    const answer = answerEvents(1, 20, 4);
    for (const backend of [one, two]) {
      backend.handle = (request, response, body) => {
        if (backend === one) response.setHeader('leaving', '1');
        answer(request, response, body);
      };
    }
    harness.list([one.record()]);
    const first = harness.call({ id: 'first' });
    await pause(60);
    harness.list([one.record(), two.record()]);
    await expectNoMore();
    expect((await first).complete).toBe(true);
  });

  it('is distinguished from a later process with the same address', async () => {
    one.handle = (_request, response) => {
      response.writeHead(421, { 'not-run': 'yes', leaving: '1' }).end();
    };
    await callMany();
    one.handle = answerWhole;
    harness.list([one.record({ revision: 2 })]);
    expect((await harness.call({ id: 'again' })).status).toBe(200);
  });

  it('serves again after a restart with the same id', async () => {
    harness.list([one.record({ start: 's1' }), two.record()]);
    await callMany();
    one.handle = answerWhole;
    harness.list([one.record({ start: 's2', revision: 2 })]);
    expect((await harness.call({ id: 'again' })).status).toBe(200);
  });

  it('announces nothing with any other header value', async () => {
    one.handle = (request, response) => {
      response.setHeader('leaving', '0');
      answerWhole(request, response);
    };
    harness.list([one.record()]);
    expect(await callMany()).toEqual(Array(REQUESTS).fill(200));
  });

  it('gets no request from another daemon that has had no response from it', async () => {
    const { peerPort } = harness.settings;
    const address = '127.0.0.2';
    const other = await GatewayHarness.start({ address, peerPort, seeds: ['127.0.0.1'] });
    other.configure(testConfiguration());
    other.list([one.record(), two.record()]);
    const isConnected = (): boolean => harness.gateway['peers'].live().length === 2;
    for (let attempt = 0; attempt < 60 && !isConnected(); attempt++) await pause(100);
    await callMany();
    const before = one.arrivals.length;
    expect(before).toBeGreaterThan(0);
    await pause(200);
    for (let call = 0; call < REQUESTS; call++) await other.call({ id: `o${call}` });
    expect(one.arrivals.length).toBe(before);
    other.stop();
  });
});
