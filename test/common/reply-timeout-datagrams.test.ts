import dgram from 'node:dgram';
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { afterEach, expect, it, describe } from 'vitest';
import { startReplyTimeout } from '../../src/common/reply-timeout.js';
import { blockFor } from '../gateway/separate-backend.js';

/** Datagrams that other daemons send in a pause of about a second. */
const BACKLOG = 200;

const SENDER = `
  const { workerData: { port, count } } = require('node:worker_threads');
  const socket = require('node:dgram').createSocket('udp4');
  let sent = 0;
  const send = () => {
    if (sent === count) return socket.close();
    sent += 1;
    socket.send(sent === count ? 'reply' : 'other', port, '127.0.0.1', send);
  };
  send();
`;

describe('a datagram that comes while this process is paused', () => {
  const socket = dgram.createSocket('udp4');

  afterEach(() => socket.close());

  it('counts although many others came before it', async () => {
    socket.bind(0, '127.0.0.1');
    await once(socket, 'listening');
    let wasMissed = false;
    let hasReply = false;
    const timeout = startReplyTimeout(300, () => (wasMissed = true));
    socket.on('message', (message) => {
      if (message.toString() !== 'reply') return;
      hasReply = true;
      timeout.cancel();
    });
    const workerData = { port: socket.address().port, count: BACKLOG };
    const worker = new Worker(SENDER, { eval: true, workerData });
    await once(worker, 'online');
    await blockFor(700);
    await new Promise((resolve) => setTimeout(resolve, 100));
    await worker.terminate();
    expect(hasReply).toBe(true);
    expect(wasMissed).toBe(false);
  });
});
