import http from 'node:http';
import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ConnectionLimit, LIMITED_SERVER_OPTIONS } from '../../src/common/connection-limit.js';
import { listen } from '../../src/common/http-server.js';
import { sleep } from '../../src/common/process.js';
import { answerHead } from '../../src/common/unreadable-requests.js';

const SETTLE_MS = 50;
const REQUEST = 'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n';

/** A connection that a test writes to directly. */
class Connection {
  received = '';
  isClosed = false;
  private readonly socket: net.Socket;

  constructor(port: number) {
    this.socket = net.connect(port, '127.0.0.1');
    this.socket.on('data', (bytes: Buffer) => (this.received += bytes.toString()));
    this.socket.once('error', () => {});
    this.socket.once('close', () => (this.isClosed = true));
  }

  async write(text: string): Promise<this> {
    this.socket.write(text);
    await sleep(SETTLE_MS);
    return this;
  }

  close(): void {
    this.socket.destroy();
  }
}

describe('the limit of connections', () => {
  let server: http.Server;
  let limit: ConnectionLimit;
  let port = 0;
  let connections: Connection[] = [];
  let closures: string[] = [];
  let maxWaiting = 100;
  let refuse = (): boolean => false;

  beforeEach(async () => {
    maxWaiting = 100;
    refuse = () => false;
    closures = [];
    server = http.createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
      request.resume();
      request.once('end', () => response.end('ok'));
    });
    limit = new ConnectionLimit(server, {
      maxConnections: 3,
      maxWaiting: () => maxWaiting,
      refuseRequest: () => refuse(),
      answerHead: (socket) => answerHead(socket, 'overloaded'),
      onClosed: (closure) => closures.push(closure),
    });
    port = await listen(server, '127.0.0.1', 0);
  });

  afterEach(() => {
    for (const connection of connections) connection.close();
    connections = [];
    server.close();
    server.closeAllConnections();
  });

  async function connect(text = ''): Promise<Connection> {
    const connection = new Connection(port);
    connections.push(connection);
    return connection.write(text);
  }

  it('closes the connection that has had no request for longest', async () => {
    const first = await connect();
    const second = await connect();
    // Its request was answered after the second connection was made.
    await first.write(`${REQUEST}body`);
    await connect();
    await connect();
    expect(connections.map(({ isClosed }) => isClosed)).toEqual([false, true, false, false]);
    expect(second.received).toBe('');
    expect(first.received).toContain('ok');
    expect(closures).toEqual(['connections']);
  });

  it('keeps connections whose requests are not answered, and closes the new one', async () => {
    for (let count = 0; count < 3; count++) await connect(REQUEST);
    const latest = await connect();
    expect(connections.map(({ isClosed }) => isClosed)).toEqual([false, false, false, true]);
    expect(latest.received).toBe('');
  });

  it('refuses an incomplete request in place of the new one, and does not answer it twice', async () => {
    const sockets: net.Socket[] = [];
    server.on('connection', (socket) => sockets.push(socket));
    const refused = await connect(REQUEST);
    await connect(REQUEST);
    await connect(REQUEST);
    refuse = () => {
      const [socket] = sockets;
      if (socket === undefined) return false;
      socket.write('HTTP/1.1 503 no\r\n\r\n');
      limit.release(socket);
      return true;
    };
    const latest = await connect(`${REQUEST}body`);
    expect(latest.received).toContain('ok');
    expect(refused.received).toBe('HTTP/1.1 503 no\r\n\r\n');
    expect(refused.isClosed).toBe(true);
  });

  it('answers a part of a head that it closes, with the time to come back', async () => {
    maxWaiting = 1;
    const partial = await connect('POST / HTTP/1.1\r\n');
    await connect();
    expect(partial.received).toContain('HTTP/1.1 503');
    expect(partial.received).toContain('X-Ran: no');
    expect(partial.received).toContain('Retry-After: 1');
    expect(partial.isClosed).toBe(true);
    expect(closures).toEqual(['heads']);
  });

  it('does not answer a connection a second time that is only read on', async () => {
    const sockets: net.Socket[] = [];
    server.on('connection', (socket) => sockets.push(socket));
    const answered = await connect(REQUEST);
    const [socket] = sockets;
    if (socket !== undefined) limit.release(socket);
    await answered.write('bo');
    maxWaiting = 0;
    await connect();
    expect(answered.received).toBe('');
  });
});
