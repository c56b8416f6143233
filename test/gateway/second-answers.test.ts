/**
 * Guards against requests that run twice, or run although their callers are told that they have not: a backend's
 * second answer to an earlier send of a request was taken for the answer to the next send on the same connection.
 */
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ServerControl } from '../../platform/server-control.js';
import { BackendAgent } from '../../src/gateway/backend-agent.js';
import { steadyNow } from '../../src/gateway/steady-clock.js';
import {
  GatewayHarness,
  pause,
  TestBackend,
  testConfiguration,
  testRoute,
} from './gateway-harness.js';

const ROUTES = [
  testRoute({ name: 'once', pathPrefix: '/once/', repeatability: 'once', maxAttempts: 1 }),
  testRoute({ name: 'any', pathPrefix: '/any/', maxAttempts: 3 }),
];

/** Returns the bytes of an answer to the request with an id. */
type Answer = (id: string) => string;

function answerBytes(status: number, headers: string, id: string): string {
  const idLine = id === '' ? '' : `request-id: ${id}\r\n`;
  return `HTTP/1.1 ${status} X\r\n${idLine}${headers}content-length: 2\r\n\r\nok`;
}

const whole: Answer = (id) => answerBytes(200, 'signed: yes\r\n', id);

/**
 * A backend that sends the first answer on each connection twice, unless told otherwise: the second time where the next
 * answer on the connection should come. Requests with a body are not supported.
 */
class RepeatingBackend extends TestBackend {
  private readonly listener = net.createServer((socket) => this.accept(socket));
  /** Answers in the order of arrival; a whole answer after these. */
  answers: Answer[] = [];
  /** Number of requests that it has answered with a whole answer, by id. */
  readonly runs = new Map<string, number>();
  connections = 0;
  repeatsAnswers = true;

  override async start(): Promise<void> {
    await new Promise<void>((resolve) => this.listener.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${(this.listener.address() as net.AddressInfo).port}`;
  }

  override stop(): void {
    this.listener.close();
  }

  private accept(socket: net.Socket): void {
    this.connections += 1;
    let copy: string | undefined;
    let isFirst = true;
    socket.on('error', () => socket.destroy());
    socket.on('data', (bytes) => {
      const id = /^request-id: (\S+)/im.exec(bytes.toString())?.[1] ?? '';
      if (copy !== undefined) socket.write(copy);
      copy = undefined;
      const answer = this.answers.shift() ?? whole;
      if (answer === whole) this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
      const sent = answer(id);
      if (isFirst && this.repeatsAnswers) copy = sent;
      isFirst = false;
      socket.write(sent);
    });
  }
}

const refused: Answer = (id) => answerBytes(503, 'not-run: 1\r\n', id);
const misdirected: Answer = (id) => answerBytes(421, 'not-run: 1\r\n', id);
const failed: Answer = (id) => answerBytes(500, 'signed: yes\r\n', id);

describe('a second answer to an earlier send of a request', () => {
  let backends: RepeatingBackend[] = [];
  let harness: GatewayHarness;

  beforeEach(async () => {
    harness = await GatewayHarness.start();
  });
  afterEach(() => {
    harness.stop();
    for (const backend of backends) backend.stop();
  });

  async function list(...listed: RepeatingBackend[]): Promise<void> {
    backends = listed;
    for (const backend of listed) await backend.start();
    harness.configure(testConfiguration({ version: 2, routes: ROUTES }));
    harness.list(listed.map((backend) => backend.record()));
  }

  it.each([
    ['a refusal', '/once/x', refused],
    ['an answer for another process', '/once/x', misdirected],
    ['a signed failure', '/any/x', failed],
  ])('is not taken for the answer to the next one: %s', async (_, path, first) => {
    const backend = new RepeatingBackend('one');
    backend.answers = [first];
    await list(backend);
    const answer = await harness.call({ id: 'a', path, method: 'GET' });
    expect(answer.status).toBe(200);
    expect(backend.runs.get('a')).toBe(1);
  });

  it('is not taken for the answer to a later send, after sends to other backends', async () => {
    const [one, two] = [new RepeatingBackend('one'), new RepeatingBackend('two')];
    one.answers = [refused, refused];
    two.answers = [refused];
    await list(one, two);
    const answer = await harness.call({ id: 'a', path: '/once/x', method: 'GET' });
    expect(answer.status).toBe(200);
    const runs = [one, two].map((backend) => backend.runs.get('a') ?? 0);
    expect(runs[0]! + runs[1]!).toBe(1);
  });

  it('is not taken for the answer to a send that another daemon relays', async () => {
    const backend = new RepeatingBackend('one');
    backend.answers = [refused];
    await list(backend);
    const cut = await GatewayHarness.start({ name: 'cut' });
    cut.joinGroupOf(harness);
    for (let attempt = 0; attempt < 100 && cut.liveMembers() < 2; attempt++) await pause(20);
    cut.configure(testConfiguration({ routes: ROUTES }));
    cut.list([backend.record()]);
    const { reachability } = cut.context().backendWatch;
    reachability.probesDue = () => [];
    reachability.recordConnectionFailure(backend.address, steadyNow());
    const answer = await cut.call({ id: 'a', path: '/once/x', method: 'GET' });
    cut.stop();
    const relayed = harness.lines.filter(({ event }) => event === 'relayed');
    expect(relayed.length).toBe(2);
    expect(answer.status).toBe(200);
    expect(backend.runs.get('a')).toBe(1);
  });

  it('teaches nothing if it bears the id of another request, or none', async () => {
    const backend = new RepeatingBackend('one');
    const announcing = 'leaving: 1\r\nrate-limit: 0\r\nretry-after: 5\r\nnot-run: 1\r\n';
    backend.answers = ['other', ''].map((id) => () => answerBytes(503, announcing, id));
    await list(backend);
    for (const id of ['a', 'b']) {
      const answer = await harness.call({ id, path: '/once/x', method: 'GET' });
      expect(answer).toMatchObject({ status: 502, headers: { 'x-ran': 'unknown' } });
    }
    const { permits, backoffs, directory } = harness.context();
    expect(permits.perSecond(backend.record())).toBeUndefined();
    expect(backoffs.remainingMs(backend.record(), steadyNow())).toBe(0);
    expect(directory.getServing('one')).toBeDefined();
  });

  it('costs no connection for each refusal', async () => {
    const backend = new RepeatingBackend('one');
    backend.repeatsAnswers = false;
    await list(backend);
    for (let call = 0; call < 10; call++) {
      backend.answers = [refused];
      await harness.call({ id: `c${call}`, path: '/any/x', method: 'GET' });
    }
    // One for first sends, and one for second sends.
    expect(backend.connections).toBe(2);
  });
});

describe('a second answer to an order or to a request for a report', () => {
  it('is not taken for the answer to a request of a caller', async () => {
    const backend = new RepeatingBackend('one');
    backend.answers = [
      () => answerBytes(421, 'not-run: 1\r\n', ''),
      () => answerBytes(421, 'not-run: 1\r\n', ''),
    ];
    await backend.start();
    const agent = new BackendAgent({ onUnexpectedBytes: () => {} });
    const control = new ServerControl(agent);
    const fence = { holder: 'h', epoch: 1, expectedSequence: 0, maySend: () => true };
    const order = { operation: 'load', model: 'm', adapter: undefined } as const;
    await control.order(backend.record(), order, fence);
    await control.report(backend.record());
    expect(backend.connections).toBe(2);
    expect(agent.hasIdleConnection(backend.address, 'send-1')).toBe(false);
    agent.destroy();
    backend.stop();
  });
});
