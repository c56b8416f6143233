import http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { BackendAgent } from '../../src/gateway/backend-agent.js';
import { pause } from './gateway-harness.js';

describe('BackendAgent', () => {
  let server: http.Server;
  let agent: BackendAgent;
  let unexpectedFrom: string[];
  const sockets: Socket[] = [];

  beforeEach(async () => {
    unexpectedFrom = [];
    agent = new BackendAgent({ onUnexpectedBytes: (address) => unexpectedFrom.push(address) });
    server = http.createServer((_request, response) => {
      response.setHeader('keep-alive', 'timeout=5');
      response.end('ok');
    });
    server.on('connection', (socket) => sockets.push(socket));
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    agent.destroy();
    server.close();
    server.closeAllConnections();
    sockets.length = 0;
  });

  function send(): Promise<Socket> {
    const { port } = server.address() as AddressInfo;
    return new Promise((resolve, reject) => {
      const request = http.get({ host: '127.0.0.1', port, agent }, (response) => {
        const { socket } = response;
        response.resume();
        response.on('end', () => setImmediate(() => resolve(socket)));
      });
      request.on('error', reject);
    });
  }

  it('reuses one connection without accumulating listeners', async () => {
    const first = await send();
    const listeners = (): number => first.listenerCount('error') + first.listenerCount('timeout');
    const before = listeners();
    for (let round = 0; round < 12; round++) expect(await send()).toBe(first);
    expect(listeners()).toBe(before);
    expect(sockets).toHaveLength(1);
  });

  it('closes an idle connection that receives unexpected bytes', async () => {
    await send();
    sockets[0]?.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
    await pause(50);
    expect(unexpectedFrom).toHaveLength(1);
    await send();
    expect(sockets).toHaveLength(2);
  });
});
