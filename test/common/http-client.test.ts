import http from 'node:http';
import net from 'node:net';
import type { Duplex } from 'node:stream';
import { afterEach, describe, expect, it } from 'vitest';
import { HttpClient, type HttpRequest } from '../../src/common/http-client.js';

/** Opens each connection with a delay. */
class DelayedAgent extends http.Agent {
  constructor(private readonly delayMs: number) {
    super();
  }

  override createConnection(
    options: http.ClientRequestArgs,
    onCreate?: (fault: Error | null, socket: Duplex) => void,
  ): undefined {
    const connect = (): net.Socket => net.connect(options as net.NetConnectOpts);
    setTimeout(() => onCreate?.(null, connect()), this.delayMs);
  }
}

describe('HttpClient', () => {
  let server: http.Server | undefined;
  const bodies: string[] = [];

  async function listenOnFreePort(): Promise<string> {
    bodies.length = 0;
    server = http.createServer((request, response) => {
      request.setEncoding('utf8');
      request.on('data', (text: string) => bodies.push(text));
      request.on('end', () => response.end('{}'));
    });
    await new Promise<void>((resolve) => server?.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  afterEach(() => {
    server?.close();
  });

  function requestTo(address: string): HttpRequest {
    const body = { order: 1 };
    return { method: 'POST', address, path: '/', body, timeoutMs: 2_000, sendWithinMs: 100 };
  }

  it('sends a request whose connection is established in time', async () => {
    const address = await listenOnFreePort();
    const answer = await new HttpClient({ agent: new DelayedAgent(0) }).send(requestTo(address));
    expect(answer.isOk).toBe(true);
    expect(bodies).toEqual(['{"order":1}']);
  });

  it('does not send a request whose send deadline passes while it connects', async () => {
    const address = await listenOnFreePort();
    const answer = await new HttpClient({ agent: new DelayedAgent(300) }).send(requestTo(address));
    expect(answer.isErr && answer.error.reason).toBe('not_sent');
    expect(bodies).toEqual([]);
  });

  it('does not send a request that is no longer permitted when the connection is established', async () => {
    const address = await listenOnFreePort();
    let maySend = true;
    const sent = new HttpClient({ agent: new DelayedAgent(50) }).send({
      ...requestTo(address),
      maySend: () => maySend,
    });
    maySend = false;
    const answer = await sent;
    expect(answer.isErr && answer.error.reason).toBe('not_sent');
    expect(bodies).toEqual([]);
  });

  it('resets the connection of a request that times out, so that delayed data is never delivered', async () => {
    const faults: string[] = [];
    const unresponsive = net.createServer((socket) => {
      socket.on('error', (fault: NodeJS.ErrnoException) => faults.push(fault.code ?? ''));
      socket.on('data', () => {});
    });
    await new Promise<void>((resolve) => unresponsive.listen(0, '127.0.0.1', resolve));
    const { port } = unresponsive.address() as net.AddressInfo;
    const request = { ...requestTo(`127.0.0.1:${port}`), timeoutMs: 100 };
    const answer = await new HttpClient().send(request);
    await new Promise((resolve) => setTimeout(resolve, 100));
    unresponsive.close();
    expect(answer.isErr && answer.error.reason).toBe('lost');
    expect(faults).toEqual(['ECONNRESET']);
  });
});
