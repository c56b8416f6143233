import net from 'node:net';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { HttpClient } from '../../src/common/http-client.js';
import { pause } from '../gateway/gateway-harness.js';

/** What the kernel and Node may hold of a connection. */
const CONNECTION_BYTES = 12 * 1024 * 1024;
const MAX_SENT_BYTES = 64 * 1024 * 1024;

/** Answers each request, and sends bytes that do not stop after the answer if `isEndless`. */
class Server {
  isEndless = true;
  connections = 0;
  openConnections = 0;
  sentBytes = 0;
  readonly sockets = net.createServer((socket) => {
    this.connections += 1;
    this.openConnections += 1;
    socket.on('error', () => socket.destroy());
    socket.once('close', () => (this.openConnections -= 1));
    socket.on('data', () => {
      socket.write('HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok');
      if (this.isEndless) setTimeout(() => this.pump(socket), 50);
    });
  });

  get address(): string {
    return `127.0.0.1:${(this.sockets.address() as net.AddressInfo).port}`;
  }

  private pump(socket: net.Socket): void {
    if (socket.destroyed || this.sentBytes > MAX_SENT_BYTES) return;
    const bytes = Buffer.alloc(32 * 1024, 'x');
    this.sentBytes += bytes.length;
    const next = (): void => this.pump(socket);
    if (socket.write(bytes)) setImmediate(next);
    else socket.once('drain', next);
  }
}

let server: Server;
let client: HttpClient;

beforeEach(async () => {
  server = new Server();
  client = new HttpClient();
  await new Promise<void>((resolve) => server.sockets.listen(0, '127.0.0.1', resolve));
});

afterEach(() => {
  client.close();
  server.sockets.close();
});

async function call(): Promise<boolean> {
  const { address } = server;
  return (await client.send({ method: 'GET', address, path: '/', timeoutMs: 2_000 })).isOk;
}

it('closes an idle connection on which bytes arrive that belong to no request', async () => {
  expect(await call()).toBe(true);
  await pause(500);
  expect(server.openConnections).toBe(0);
  expect(server.sentBytes).toBeLessThan(CONNECTION_BYTES);
});

it('uses an idle connection again', async () => {
  server.isEndless = false;
  expect(await call()).toBe(true);
  await pause(50);
  expect(await call()).toBe(true);
  expect(server.connections).toBe(1);
});
