import http from 'node:http';
import net from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { listen } from '../../src/common/http-server.js';
import { MAX_PIPELINED_REQUESTS } from '../../src/common/limited-request.js';
import {
  LIMITED_REQUEST_OPTIONS,
  limitPipelinedRequests,
} from '../../src/common/pipelined-requests.js';
import { sleep } from '../../src/common/process.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: x\r\n\r\n';
const SENT = 1_000;
const ANSWER_MS = 20;

describe('requests that do not wait for answers', () => {
  let server: http.Server;
  let received = '';
  let limits = 0;
  let requests = 0;

  /** Sends more requests than may wait, and resolves when the connection is closed. */
  async function send(answer: (response: http.ServerResponse) => void): Promise<void> {
    received = '';
    limits = 0;
    requests = 0;
    server = http.createServer(LIMITED_REQUEST_OPTIONS, (_request, response) => {
      requests += 1;
      answer(response);
    });
    limitPipelinedRequests(server, () => (limits += 1));
    const port = await listen(server, '127.0.0.1', 0);
    await new Promise<void>((resolve) => {
      const socket = net.connect(port, '127.0.0.1', () => socket.write(REQUEST.repeat(SENT)));
      socket.on('data', (bytes: Buffer) => (received += bytes.toString()));
      socket.once('error', () => resolve());
      socket.once('close', () => resolve());
    });
  }

  function answers(): number {
    return received.split('HTTP/1.1 200').length - 1;
  }

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  it('are answered up to the limit, and the last answer announces the close', async () => {
    await send((response) => void sleep(ANSWER_MS).then(() => response.end('ok')));
    expect([requests, answers(), limits]).toEqual([
      MAX_PIPELINED_REQUESTS,
      MAX_PIPELINED_REQUESTS,
      1,
    ]);
    expect(received.split('Connection: close').length - 1).toBe(1);
  });

  it('are answered whole if the last answer has begun before the limit is reached', async () => {
    await send((response) => {
      response.writeHead(200);
      void sleep(ANSWER_MS).then(() => response.end('ok'));
    });
    expect(answers()).toBe(MAX_PIPELINED_REQUESTS);
    expect(received.split('ok').length - 1).toBe(MAX_PIPELINED_REQUESTS);
  });

  it('leave a request that names an upgrade as it was', async () => {
    server = http.createServer(LIMITED_REQUEST_OPTIONS, (_request, response) => response.end('ok'));
    limitPipelinedRequests(server, () => {});
    const port = await listen(server, '127.0.0.1', 0);
    const headers = { connection: 'upgrade', upgrade: 'h2c' };
    const status = await new Promise((resolve) => {
      http.get({ host: '127.0.0.1', port, headers }, (response) => {
        response.resume();
        resolve(response.statusCode);
      });
    });
    expect(status).toBe(200);
  });
});
