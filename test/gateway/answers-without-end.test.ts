/** Guards against answers without an end: one of them took memory and processor from all other callers until its deadline. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { answerMemoryLimitsFor } from '../../src/core/answer-budget.js';
import { steadyNow } from '../../src/gateway/steady-clock.js';
import { EndlessBackend, ENDLESS_ANSWERS, ENDLESS_EVENTS } from './endless-backend.js';
import { GatewayHarness, pause, testConfiguration, testRoute } from './gateway-harness.js';

const ROUTES = [
  testRoute({ name: 'once', pathPrefix: '/once/', repeatability: 'once', maxAttempts: 1 }),
  testRoute({ name: 'stream', pathPrefix: '/stream/', repeatability: 'stream_once' }),
  testRoute({ name: 'work', pathPrefix: '/work/', repeatability: 'repeatable' }),
];
const MEMORY_MEGABYTES = 32;
const { answerBytes, daemonBytes } = answerMemoryLimitsFor(MEMORY_MEGABYTES);
/** What the kernel and Node may hold of a connection beyond what the gateway keeps. */
const CONNECTION_BYTES = 12 * 1024 * 1024;
/** An endless answer must end long before its deadline of 4 s. */
const MAX_END_MS = 1_500;
const CUT = { status: 0, headers: {}, body: '', complete: false };
const CALLERS = ['a', 'b', 'c', 'd', 'e'];

interface Scene {
  readonly name: string;
  readonly start: (backend: EndlessBackend) => Promise<GatewayHarness[]>;
}

/** The first gateway of a scene takes the callers' requests. */
const SCENES: readonly Scene[] = [
  {
    name: 'direct',
    start: async (backend) => {
      const gateway = await GatewayHarness.start({ memoryMegabytes: MEMORY_MEGABYTES });
      configure(gateway, backend);
      return [gateway];
    },
  },
  {
    name: 'relayed',
    start: async (backend) => {
      const relay = await GatewayHarness.start({
        name: 'relay',
        memoryMegabytes: MEMORY_MEGABYTES,
      });
      const cut = await GatewayHarness.start({ name: 'cut', memoryMegabytes: MEMORY_MEGABYTES });
      cut.joinGroupOf(relay);
      const until = steadyNow() + 5_000;
      while ((cut.liveMembers() < 2 || relay.liveMembers() < 2) && steadyNow() < until)
        await pause(20);
      for (const gateway of [cut, relay]) configure(gateway, backend);
      const { reachability } = cut.context().backendWatch;
      reachability.probesDue = () => [];
      reachability.recordConnectionFailure(backend.address, steadyNow());
      return [cut, relay];
    },
  },
];

function configure(gateway: GatewayHarness, backend: EndlessBackend): void {
  gateway.configure(testConfiguration({ routes: ROUTES }));
  gateway.list([backend.record()]);
}

function failuresOf(gateway: GatewayHarness): Record<string, unknown>[] {
  return gateway.lines
    .filter(({ event }) => event === 'attempt_failed')
    .map(({ fields }) => fields);
}

describe.each(SCENES)('an answer without an end, $name', ({ start }) => {
  let backend: EndlessBackend;
  let gateways: GatewayHarness[];
  let gateway: GatewayHarness;

  beforeEach(async () => {
    backend = new EndlessBackend('endless');
    await backend.start();
    gateways = await start(backend);
    gateway = gateways[0] as GatewayHarness;
  });
  afterEach(() => {
    for (const each of gateways) each.stop();
    backend.stop();
  });

  /** Expects that the answers were ended early, whatever they are, and others served at once. */
  async function expectEndedEarly(path: string): Promise<void> {
    const startedAt = steadyNow();
    // The connection of a stream may be closed before its head has left the gateway.
    const endless = gateway.call({ id: 'endless', path }).catch(() => CUT);
    const others = CALLERS.map((id) => gateway.call({ id, path: '/once/x' }));
    const statuses = (await Promise.all(others)).map(({ status }) => status);
    expect(statuses).toEqual(CALLERS.map(() => 200));
    const view = await endless;
    expect(steadyNow() - startedAt).toBeLessThan(MAX_END_MS);
    if (path.startsWith('/stream')) expect(view.complete).toBe(false);
    else expect(view).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
    expect(failuresOf(gateway)).toMatchObject([
      { request: 'endless', ran: 'unknown', reached: true },
    ]);
    await pause(100);
    expect(backend.runs.map(({ isClosed }) => isClosed)).toEqual([true]);
    expect(backend.runs[0]?.sentBytes).toBeLessThan(answerBytes + CONNECTION_BYTES);
    expect(gateway.context().answers.heldBytes).toBe(0);
  }

  it.each(Object.keys(ENDLESS_ANSWERS))('ends its own request only: %s', async (kind) => {
    backend.endless = ENDLESS_ANSWERS[kind] ?? backend.endless;
    await expectEndedEarly('/once/x');
  });

  it.each(Object.keys(ENDLESS_EVENTS))('ends its own stream only: %s', async (kind) => {
    backend.endless = ENDLESS_EVENTS[kind] ?? backend.endless;
    await expectEndedEarly('/stream/x');
  });

  it('does not hold the connection of a refusal', async () => {
    backend.endless = () => ({
      start: 'HTTP/1.1 503 X\r\nnot-run: 1\r\nrequest-id: endless\r\n\r\n',
      repeated: 'x'.repeat(1_000),
    });
    const view = await gateway.call({ id: 'endless', path: '/once/x' });
    expect(view.status).toBe(503);
    await pause(500);
    expect(backend.runs.every(({ isClosed }) => isClosed)).toBe(true);
    const sent = backend.runs.map(({ sentBytes }) => sentBytes);
    expect(Math.max(...sent)).toBeLessThan(CONNECTION_BYTES);
  });

  it('is told from a large one, which comes whole', async () => {
    const size = Math.floor(answerBytes / 2);
    backend.whole = (id) =>
      `HTTP/1.1 200 X\r\nsigned: y\r\nrequest-id: ${id}\r\ncontent-length: ${size}\r\n\r\n${'x'.repeat(size)}`;
    const view = await gateway.call({ id: 'large', path: '/once/x' });
    expect(view).toMatchObject({ status: 200, complete: true });
    expect(view.body.length).toBe(size);
  });

  it('is told from a long stream, which comes whole', async () => {
    const event = `data: ${'x'.repeat(4_000)}\n\n`;
    const count = Math.ceil((3 * answerBytes) / event.length);
    const size = count * event.length;
    backend.whole = (id) =>
      `HTTP/1.1 200 X\r\nsigned: y\r\nrequest-id: ${id}\r\ncontent-length: ${size}\r\n\r\n${event.repeat(count)}`;
    const view = await gateway.call({ id: 'long', path: '/stream/x' });
    expect(view.complete).toBe(true);
    expect(view.body.length).toBe(size);
  });
});

describe('answers that are each within their bound', () => {
  it('take together no more than the bound of all, and the largest ends, not the newest', async () => {
    const backend = new EndlessBackend('slow');
    await backend.start();
    const gateway = await GatewayHarness.start({ memoryMegabytes: MEMORY_MEGABYTES });
    configure(gateway, backend);
    // Each answer stops below its own bound, and never ends.
    const most = Math.floor(answerBytes * 0.8);
    backend.endless = (id) => ({
      start: `HTTP/1.1 200 X\r\nsigned: y\r\nrequest-id: ${id}\r\ncontent-length: ${2 * most}\r\n\r\n${'x'.repeat(most)}`,
      repeated: '',
    });
    const count = Math.ceil((2 * daemonBytes) / most);
    const ids = Array.from({ length: count }, (_, index) => `endless-${index}`);
    const incomplete = ids.map((id) =>
      gateway.call({ id, path: '/once/x', headers: { deadline: '2000' } }),
    );
    await pause(600);
    expect(gateway.context().answers.heldBytes).toBeLessThanOrEqual(daemonBytes);
    expect((await gateway.call({ id: 'small', path: '/once/x' })).status).toBe(200);
    await Promise.all(incomplete);
    expect(gateway.context().answers.heldBytes).toBe(0);
    gateway.stop();
    backend.stop();
  });
});
