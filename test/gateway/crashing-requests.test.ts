/*
 * One request that crashes whatever runs it came again and again with the same path, caller and body, and ended 13 backends of a
 * service in half a minute: each attempt was sent to a second backend after the first had broken off, and each repeat started
 * from nothing at whichever daemon it came to. In the logs five daemons have `attempt_failed reached=true reason=aborted` for
 * both of the only two backends that hold the model, 0.23 s apart, and connections to them are refused from then on.
 */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { findFreePorts } from '../../src/testbed/free-ports.js';
import {
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type CallerView,
} from './gateway-harness.js';

const ADDRESSES = ['127.0.0.1', '127.0.0.2'] as const;
const BACKENDS = 6;
/** A backend that has crashed is back after so long, with another id. */
const BACK_AFTER_MS = 300;
/** All daemons that are in touch know after so long. */
const TOLD_WITHIN_MS = 1_500;
const ROUTE = testRoute({ maxAttempts: 3, goalMs: 2_000 });

describe('a request that crashes the backends that run it', () => {
  let daemons: GatewayHarness[];
  let backends: TestBackend[];
  let crashes: number;
  let revision: number;
  let peerPort: number;

  beforeEach(async () => {
    daemons = [];
    backends = [];
    crashes = 0;
    revision = 1;
    [peerPort = 0] = await findFreePorts(1);
    for (let index = 0; index < BACKENDS; index++) await addBackend(`b${index}`);
    for (const address of ADDRESSES) await join(address, ADDRESSES);
    await meet(2);
  });

  afterEach(() => {
    for (const daemon of daemons) daemon.stop();
    for (const backend of backends) backend.stop();
  });

  async function join(address: string, seeds: readonly string[]): Promise<GatewayHarness> {
    const others = seeds.filter((seed) => seed !== address);
    const daemon = await GatewayHarness.start({ address, peerPort, seeds: others });
    daemon.configure(testConfiguration({ routes: [ROUTE] }));
    daemons.push(daemon);
    listAll();
    return daemon;
  }

  async function meet(count: number): Promise<void> {
    const seesAll = (daemon: GatewayHarness): boolean =>
      daemon.gateway['peers'].live().length === count;
    for (let look = 0; look < 60 && !daemons.every(seesAll); look++) await pause(100);
    expect(daemons.every(seesAll)).toBe(true);
  }

  async function addBackend(id: string): Promise<void> {
    const backend = new TestBackend(id, (request, response, body) => {
      if (body.startsWith('crash')) crash(backend);
      else if (body.startsWith('slow')) setTimeout(() => answerWhole(request, response), 200);
      else answerWhole(request, response);
    });
    await backend.start();
    backends.push(backend);
    listAll();
  }

  function crash(backend: TestBackend): void {
    crashes += 1;
    backend.stop();
    backends = backends.filter((other) => other !== backend);
    setTimeout(() => void addBackend(`${backend.id}'`), BACK_AFTER_MS);
  }

  /** The list shows backends that have crashed for as long as they are not back. */
  function listAll(): void {
    revision += 1;
    for (const daemon of daemons) {
      daemon.list(backends.map((backend) => backend.record({ revision })));
    }
  }

  function call(daemon: number, id: string, body: string): Promise<CallerView> {
    return daemons[daemon]!.call({ id, body });
  }

  /** The same request again and again, by turns at both daemons. */
  async function repeat(body: string, times: number): Promise<CallerView[]> {
    const answers: CallerView[] = [];
    for (let index = 0; index < times; index++) {
      answers.push(await call(index % 2, `${body}-${index}`, body));
      await pause(100);
    }
    return answers;
  }

  it('ends three of them, and is refused at once from then on, at each daemon', async () => {
    const answers = await repeat('crash', 12);
    expect(crashes).toBe(3);
    const refused = answers.slice(1);
    expect(refused.map(({ status }) => status)).toEqual(refused.map(() => 503));
    for (const { headers } of refused) {
      expect(headers['x-error-kind']).toBe('crashes_backends');
      expect(headers['x-ran']).toBe('no');
      expect(headers['retry-after']).toBeUndefined();
    }
  });

  it('leaves other requests of the same path served', async () => {
    await repeat('crash', 4);
    await pause(2 * BACK_AFTER_MS);
    expect((await call(0, 'other', 'sound')).status).toBe(200);
    expect((await call(1, 'other', 'sound')).status).toBe(200);
  });

  it('is known to a daemon that starts later, and to one that starts again', async () => {
    await repeat('crash', 4);
    expect(crashes).toBe(3);
    const joined = await join('127.0.0.3', ADDRESSES);
    await meet(3);
    await pause(TOLD_WITHIN_MS);
    expect((await joined.call({ id: 'later', body: 'crash' })).status).toBe(503);
    expect(crashes).toBe(3);
  });

  it('is sent again once an operator has said so to one daemon', async () => {
    await repeat('crash', 4);
    await pause(2 * BACK_AFTER_MS);
    const [first, second] = daemons as [GatewayHarness, GatewayHarness];
    const { crashes: watch } = first.context();
    const [refused] = watch.refusedRequests();
    expect(refused?.starts).toHaveLength(3);
    expect(watch.lift('no such digest')).toBe(false);
    expect(watch.lift(refused?.digest ?? '')).toBe(true);
    await pause(100);
    expect(second.context().crashes.refusedRequests()).toEqual([]);
    await second.call({ id: 'lifted', body: 'crash' });
    expect(crashes).toBeGreaterThan(3);
  });

  it('leaves its turn at a backend also where it is not sent after all', async () => {
    const { bounds } = daemons[0]!.settings;
    const part = { address: '127.0.0.4', bounds: { ...bounds, retrySlack: 0, retryRatio: 0 } };
    const daemon = await GatewayHarness.start({ ...part, peerPort, seeds: [] });
    daemon.configure(testConfiguration({ routes: [ROUTE] }));
    daemons.push(daemon);
    listAll();
    for (const id of ['one', 'two']) await daemon.call({ id, body: 'crash' });
    expect(crashes).toBe(2);
    for (const backend of backends) {
      backend.handle = (_request, response) => response.writeHead(503, { 'not-run': '1' }).end();
    }
    expect((await daemon.call({ id: 'three', body: 'crash' })).status).toBe(503);
    const free = { hasBegun: false };
    const watch = daemon.context().crashes;
    expect(backends.every(({ id }) => watch.isPlaceFree(id, free))).toBe(true);
  });
});
