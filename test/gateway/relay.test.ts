import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { steadyNow } from '../../src/gateway/steady-clock.js';
import { relayAddressOf } from '../../src/gateway/relay-protocol.js';
import {
  answerEvents,
  answerWhole,
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
  type CallerView,
} from './gateway-harness.js';

/** Two gateways in one group, and backends that both list. */
class RelayScene {
  backends: TestBackend[] = [];
  constructor(
    readonly cut: GatewayHarness,
    readonly sound: GatewayHarness,
  ) {}

  static async start(backends: readonly TestBackend[]): Promise<RelayScene> {
    const sound = await GatewayHarness.start({ name: 'sound' });
    const cut = await GatewayHarness.start({ name: 'cut', seeds: [] });
    const scene = new RelayScene(cut, sound);
    scene.backends = [...backends];
    for (const backend of backends) await backend.start();
    cut.joinGroupOf(sound);
    await waitFor(() => cut.liveMembers() === 2 && sound.liveMembers() === 2);
    for (const gateway of [cut, sound]) {
      gateway.configure(testConfiguration({ routes: ROUTES }));
      gateway.list(backends.map((backend) => backend.record()));
    }
    return scene;
  }

  /** Makes a gateway conclude that it reaches no backend, until {@link heal}: its probes would show the opposite. */
  partition(gateway = this.cut): void {
    const { reachability } = gateway.context().backendWatch;
    reachability.probesDue = () => [];
    for (const { address } of this.backends) {
      reachability.recordConnectionFailure(address, steadyNow());
    }
    expect(reachability.isPartitioned).toBe(true);
  }

  heal(): void {
    const { reachability } = this.cut.context().backendWatch;
    Reflect.deleteProperty(reachability, 'probesDue');
  }

  stop(): void {
    this.cut.stop();
    this.sound.stop();
    for (const backend of this.backends) backend.stop();
  }
}

const ROUTES = [
  testRoute(),
  testRoute({ name: 'once', pathPrefix: '/once/', repeatability: 'once', maxAttempts: 1 }),
  testRoute({ name: 'stream', pathPrefix: '/stream/', repeatability: 'stream_once' }),
];

async function waitFor(condition: () => boolean): Promise<void> {
  const until = steadyNow() + 5_000;
  while (!condition() && steadyNow() < until) await pause(20);
  expect(condition()).toBe(true);
}

function eventsOf(gateway: GatewayHarness, event: string): Record<string, unknown>[] {
  return gateway.lines.filter((line) => line.event === event).map(({ fields }) => fields);
}

describe('a request to a backend that its gateway cannot reach', () => {
  const backend = new TestBackend('b 1/x');
  let scene: RelayScene;

  beforeEach(async () => {
    backend.arrivals = [];
    backend.handle = answerWhole;
    scene = await RelayScene.start([backend]);
    scene.partition();
  });
  afterEach(() => scene.stop());

  it('is relayed by another gateway, unchanged, and logged by both', async () => {
    let seen: { method: string; url: string; headers: http.IncomingHttpHeaders; body: string };
    backend.handle = (request, response, body) => {
      const { method = '', url = '', headers } = request;
      seen = { method, url, headers, body };
      answerWhole(request, response);
    };
    const headers = { 'x-own': 'kept', tenant: 'forged' };
    const path = '/once/a//b?c=http://d/e%2F';
    const view = await scene.cut.call({ id: 'r1', path, body: 'the body', headers });
    expect(view).toMatchObject({ status: 200, body: 'done r1', complete: true });
    expect(view.headers['x-relay-failure']).toBeUndefined();
    expect(seen!).toMatchObject({ method: 'POST', url: path, body: 'the body' });
    expect(seen!.headers).toMatchObject({
      'x-own': 'kept',
      backend: 'b 1/x',
      host: 'service.test',
    });
    expect(seen!.headers.tenant).toBeUndefined();
    expect(Number(seen!.headers.deadline)).toBeLessThanOrEqual(4_000);
    expect(backend.arrivals).toEqual(['r1']);
    expect(eventsOf(scene.cut, 'sent')).toMatchObject([{ request: 'r1', backend: 'b 1/x' }]);
    expect(eventsOf(scene.cut, 'sent')[0]?.relay).toBeDefined();
    expect(eventsOf(scene.sound, 'relayed')).toMatchObject([{ request: 'r1', end: 'answered' }]);
  });

  it('keeps the status of a failed answer, and its whole stream', async () => {
    backend.handle = (_request, response) => {
      response.writeHead(500, { signed: 'yes', 'request-id': 'r2' });
      response.end('broken');
    };
    expect(await scene.cut.call({ id: 'r2', path: '/once/x' })).toMatchObject({
      status: 500,
      body: 'broken',
    });
    backend.handle = answerEvents(1, 20, 5);
    const view = await scene.cut.call({ id: 'r3', path: '/stream/x' });
    expect(view.complete).toBe(true);
    expect(view.body.match(/^id: /gm)).toHaveLength(20);
  });

  it('is not run twice if the connection breaks after it was sent, and not promised to have not run', async () => {
    backend.handle = (request) => request.socket.destroy();
    const view = await scene.cut.call({ id: 'r4', path: '/once/x' });
    expect(view.status).toBe(502);
    expect(backend.arrivals).toEqual(['r4']);
  });

  it('is failed alone by an answer that HTTP does not allow, and both gateways serve on', async () => {
    backend.handle = (request) => {
      const head = 'HTTP/1.1 000 X\r\nsigned: yes\r\nrequest-id: r4\r\ncontent-length: 2';
      request.socket.write(`${head}\r\n\r\nok`);
    };
    const view = await scene.cut.call({ id: 'r4', path: '/once/x' });
    expect(view).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
    expect(eventsOf(scene.sound, 'relayed')).toMatchObject([{ end: 'invalid_answer' }]);
    backend.handle = answerWhole;
    expect((await scene.cut.call({ id: 'r5', path: '/once/x' })).status).toBe(200);
    expect((await scene.sound.call({ id: 'r6', path: '/once/x' })).status).toBe(200);
  });

  it('survives a malformed path at the relay, which serves on', async () => {
    const [host, port] = relayAddressOf(scene.sound.peerAddress).split(':');
    const status = await new Promise((resolve) => {
      const options = { host, port, path: '/reachability/%E0%A4%A' };
      const request = http.get(options, (response) => resolve(response.resume().statusCode));
      request.on('error', () => resolve(undefined));
      request.setTimeout(1_000, () => request.destroy());
    });
    expect(status).toBe(503);
    expect((await scene.cut.call({ id: 'r7', path: '/once/x' })).status).toBe(200);
  });

  it('does not pass on a truncated answer without a length as a complete one', async () => {
    backend.handle = (request, response) => {
      const head = 'HTTP/1.1 200 OK\r\nsigned: yes\r\nrequest-id: r5\r\n\r\n';
      response.socket?.write(`${head}half of`);
      setTimeout(() => request.socket.resetAndDestroy(), 30);
    };
    const view = await scene.cut.call({ id: 'r5', path: '/once/x' });
    expect(view.status).toBe(502);
  });

  it('does not pass on the head of an answer alone as a complete one', async () => {
    backend.handle = (_request, response) => {
      response.socket?.end('HTTP/1.1 200 OK\r\nsigned: yes\r\nrequest-id: r5\r\n\r\n');
    };
    const view = await scene.cut.call({ id: 'r5', path: '/once/x' });
    expect(view.status).toBe(502);
  });

  it('passes on a complete answer without a length', async () => {
    backend.handle = (_request, response) => {
      response.socket?.end('HTTP/1.1 200 OK\r\nsigned: yes\r\nrequest-id: r6\r\n\r\nall');
    };
    expect(await scene.cut.call({ id: 'r6', path: '/once/x' })).toMatchObject({
      status: 200,
      body: 'all',
    });
  });

  it('is stopped at the backend when its caller leaves', async () => {
    let closedAt = Infinity;
    backend.handle = (request) => request.socket.once('close', () => (closedAt = steadyNow()));
    const request = scene.cut.request({ id: 'r7', path: '/once/x' }, () => {});
    request.on('error', () => {});
    await waitFor(() => backend.arrivals.length === 1);
    const leftAt = steadyNow();
    request.destroy();
    await waitFor(() => closedAt < Infinity);
    expect(closedAt - leftAt).toBeLessThan(500);
    expect(scene.sound.context().exchanges.size).toBe(0);
  });

  it('is counted by its own gateway only', async () => {
    await scene.cut.call({ id: 'r8' });
    const countOf = async (gateway: GatewayHarness): Promise<number> => {
      const { values } = await gateway.metrics.requests.get();
      return values.reduce((sum, { value }) => sum + value, 0);
    };
    expect(await countOf(scene.cut)).toBe(1);
    expect(await countOf(scene.sound)).toBe(0);
  });

  it('is refused at once if the other gateway reaches no backend either, and never relayed twice', async () => {
    scene.partition(scene.sound);
    const startedAt = steadyNow();
    const view = await scene.cut.call({ id: 'r9', path: '/once/x' });
    expect(view.status).toBe(503);
    expect(Number(view.headers['retry-after'])).toBeGreaterThan(0);
    expect(steadyNow() - startedAt).toBeLessThan(200);
    expect(backend.arrivals).toEqual([]);
  });

  it('goes directly again once a connection opens', async () => {
    const { reachability } = scene.cut.context().backendWatch;
    scene.heal();
    await waitFor(() => !reachability.isPartitioned);
    await scene.cut.call({ id: 'r10' });
    expect(eventsOf(scene.cut, 'sent')[0]?.relay).toBeUndefined();
    expect(eventsOf(scene.sound, 'relayed')).toEqual([]);
  });
});

describe('a relayed request that is longer than the other gateway lets its own callers send', () => {
  const BODY = 'x'.repeat(5_000);
  const backend = new TestBackend('b1');
  let scene: RelayScene;

  beforeEach(async () => {
    backend.arrivals = [];
    backend.handle = answerWhole;
    scene = await RelayScene.start([backend]);
    scene.partition();
  });
  afterEach(() => scene.stop());

  /** The other gateway has a configuration with a smaller limit: a newer one, or an older one that this gateway has replaced. */
  function limitBodies(): void {
    const { limits } = testConfiguration();
    const smaller = { ...limits, bodyBytes: 100 };
    scene.sound.configure(testConfiguration({ version: 2, routes: ROUTES, limits: smaller }));
  }

  it.each(['/once/x', '/work/x'])('is relayed with its body (%s)', async (path) => {
    limitBodies();
    const view = await scene.cut.call({ id: 'r1', path, body: BODY });
    expect(view).toMatchObject({ status: 200, body: 'done r1' });
    expect(backend.arrivals).toEqual(['r1']);
  });

  it('is relayed with headers as long as callers may send them', async () => {
    const { limits } = testConfiguration();
    const larger = { ...limits, headerBytes: 100_000 };
    scene.cut.configure(testConfiguration({ version: 2, routes: ROUTES, limits: larger }));
    const headers = { note: 'x'.repeat(90_000) };
    const view = await scene.cut.call({ id: 'r1', path: '/once/x', headers });
    expect(view).toMatchObject({ status: 200, body: 'done r1' });
  });

  it('is refused as not run if its body exceeds the memory of the other gateway', async () => {
    const { requestMemory } = scene.sound.context();
    Object.defineProperty(requestMemory, 'maxBodyBytes', { get: () => 1_000 });
    const view = await scene.cut.call({ id: 'r1', path: '/once/x', body: BODY });
    expect(view.status).toBe(503);
    expect(view.headers['x-ran']).toBe('no');
    expect(eventsOf(scene.sound, 'relayed')[0]?.end).toBe('busy');
    expect(backend.arrivals).toEqual([]);
  });
});

describe('a relay whose process is paused', () => {
  it('gets no further requests while it acknowledges none', async () => {
    const backend = new TestBackend('b1');
    const scene = await RelayScene.start([backend]);
    scene.partition();
    // The kernel accepts connections, and nothing reads the requests.
    const { server } = (
      scene.sound.gateway as unknown as { access: { relayServer: { server: http.Server } } }
    ).access.relayServer;
    server.removeAllListeners('request');
    const first = scene.cut.call({ id: 'r1', path: '/once/x', headers: { deadline: '900' } });
    await pause(400);
    const startedAt = steadyNow();
    const view = await scene.cut.call({ id: 'r2', path: '/once/x', headers: { deadline: '900' } });
    expect(view.status).toBe(503);
    expect(steadyNow() - startedAt).toBeLessThan(200);
    expect((await first).status).toBe(504);
    expect(backend.arrivals).toEqual([]);
    scene.stop();
  });
});

describe('the relay port', () => {
  const backend = new TestBackend('b1');
  let scene: RelayScene;

  beforeEach(async () => {
    backend.arrivals = [];
    backend.handle = answerWhole;
    scene = await RelayScene.start([backend]);
  });
  afterEach(() => scene.stop());

  function callRelay(path: string): Promise<CallerView> {
    const [host, port] = relayAddressOf(scene.sound.peerAddress).split(':');
    return new Promise((resolve, reject) => {
      const request = http.request({ host, port, path, method: 'POST', agent: false }, (answer) => {
        answer.resume();
        answer.on('end', () => {
          const { statusCode: status = 0, headers, complete } = answer;
          resolve({ status, headers, body: '', complete });
        });
      });
      request.on('error', reject);
      request.end('x');
    });
  }

  it.each(['/work/x', 'http://b1', 'http://%E0%A4%A/x', 'https://b1//work/x'])(
    'rejects a malformed target (%s)',
    async (path) => {
      const view = await callRelay(path);
      expect(view.status).toBe(503);
      expect(view.headers['x-relay-failure']).toBe('rejected');
      expect(backend.arrivals).toEqual([]);
    },
  );

  it('refuses at once what is more than it may relay at the same time', async () => {
    backend.handle = () => {};
    const open = Array.from({ length: 128 }, () => callRelay('http://b1//work/x'));
    await waitFor(() => backend.arrivals.length === 128);
    const view = await callRelay('http://b1//work/x');
    expect(view.headers['x-relay-failure']).toBe('busy');
    expect(backend.arrivals).toHaveLength(128);
    backend.server.closeAllConnections();
    await Promise.all(open);
  });

  it('relays to listed backends only', async () => {
    const view = await callRelay('http://127.0.0.1:80//work/x');
    expect(view.headers['x-relay-failure']).toBe('backend_unavailable');
  });

  it('does not relay to a backend that is leaving', async () => {
    scene.sound.list([backend.record({ leaving: true })]);
    const view = await callRelay('http://b1//work/x');
    expect(view.headers['x-relay-failure']).toBe('backend_unavailable');
    expect(backend.arrivals).toEqual([]);
  });

  it('tells whether a service is reached', async () => {
    const [host, port] = relayAddressOf(scene.sound.peerAddress).split(':');
    const read = async (): Promise<unknown> => {
      const answer = await fetch(`http://${host}:${port}/reachability/service`);
      return answer.json();
    };
    expect(await read()).toEqual({ reached: 1, probed: 1 });
    backend.stop();
    expect(await read()).toEqual({ reached: 0, probed: 1 });
  });
});
