import net from 'node:net';
import { create } from '@bufbuild/protobuf';
import { afterEach, describe, expect, it } from 'vitest';
import { LinkFaults } from '../../src/common/link-faults.js';
import { silentLogger, type Logger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { PeerTransport, type PeerBody } from '../../src/daemon/peer-transport.js';
import { LimitAnswerSchema, PlacementRequestSchema } from '../../src/proto/gen/internal_pb.js';
import { findFreePorts } from '../../src/testbed/free-ports.js';

/** A TCP proxy that can stop delivering data on its open connections. */
class SilencingProxy {
  private readonly pairs: [net.Socket, net.Socket][] = [];
  private readonly server: net.Server;

  constructor(
    private readonly port: number,
    target: number,
  ) {
    this.server = net.createServer((client) => {
      const upstream = net.connect(target, '127.0.0.1');
      this.pairs.push([client, upstream]);
      for (const socket of [client, upstream]) socket.on('error', () => {});
      client.pipe(upstream);
      upstream.pipe(client);
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(this.port, '127.0.0.1', resolve));
  }

  /** Stops delivering data on the open connections, without closing or resetting them. */
  silence(): void {
    for (const [client, upstream] of this.pairs) {
      client.unpipe();
      upstream.unpipe();
      client.pause();
      upstream.pause();
    }
  }

  stop(): void {
    this.server.close();
    for (const [client, upstream] of this.pairs) {
      client.destroy();
      upstream.destroy();
    }
  }
}

describe('a connection between daemons that stops delivering data', () => {
  const stops: (() => void)[] = [];

  afterEach(() => {
    for (const stop of stops.splice(0)) stop();
  });

  async function transportOn(
    port: number,
    received: string[] = [],
    lost: string[] = [],
  ): Promise<PeerTransport> {
    const transport = new PeerTransport({
      host: '127.0.0.1',
      port,
      logger: silentLogger,
      faults: new LinkFaults(),
      onMessage: (_from, body) => {
        if (body.case === 'placementRequest') received.push(body.value.service);
      },
      onDisconnect: (address) => lost.push(address),
    });
    await transport.start();
    stops.push(() => transport.stop());
    return transport;
  }

  function message(service: string): PeerBody {
    return { case: 'placementRequest', value: create(PlacementRequestSchema, { service }) };
  }

  it('is replaced within 2 s, after which messages arrive again', async () => {
    const [senderPort = 0, receiverPort = 0, proxyPort = 0] = await findFreePorts(3);
    const received: string[] = [];
    const sender = await transportOn(senderPort);
    await transportOn(receiverPort, received);
    const proxy = new SilencingProxy(proxyPort, receiverPort);
    await proxy.start();
    stops.push(() => proxy.stop());
    const to = `127.0.0.1:${proxyPort}`;
    sender.send(to, message('before'));
    await sleep(700);
    proxy.silence();
    sender.send(to, message('lost'));
    await sleep(2_000);
    sender.send(to, message('after'));
    await sleep(200);
    expect(received).toEqual(['before', 'after']);
  });

  it('is kept while the peer acknowledges, even if messages are rare', async () => {
    const [senderPort = 0, receiverPort = 0] = await findFreePorts(2);
    const received: string[] = [];
    const lost: string[] = [];
    const sender = await transportOn(senderPort, [], lost);
    await transportOn(receiverPort, received);
    for (const service of ['1', '2', '3']) {
      sender.send(`127.0.0.1:${receiverPort}`, message(service));
      await sleep(900);
    }
    expect(received).toEqual(['1', '2', '3']);
    expect(lost).toEqual([]);
  });
});

describe('a message with a value that its field cannot hold', () => {
  const stops: (() => void)[] = [];

  afterEach(() => {
    for (const stop of stops.splice(0)) stop();
  });

  it('is lost and logged; the daemon goes on, and so do its other messages', async () => {
    const [senderPort = 0, receiverPort = 0] = await findFreePorts(2);
    const received: string[] = [];
    const logged: unknown[] = [];
    const error: Logger['error'] = (event, fields) =>
      void logged.push([event, fields?.['message']]);
    const options = { host: '127.0.0.1', faults: new LinkFaults(), onDisconnect: () => {} };
    const sender = new PeerTransport({
      ...options,
      port: senderPort,
      logger: { ...silentLogger, error },
      onMessage: () => {},
    });
    const receiver = new PeerTransport({
      ...options,
      port: receiverPort,
      logger: silentLogger,
      onMessage: (_from, { case: kind }) => received.push(kind),
    });
    for (const transport of [sender, receiver]) {
      await transport.start();
      stops.push(() => transport.stop());
    }
    const to = `127.0.0.1:${receiverPort}`;
    for (const retryAfterMs of [Infinity, NaN, -1, 2 ** 32]) {
      const value = create(LimitAnswerSchema, { tenant: 't', retryAfterMs });
      sender.sendDatagram(to, { case: 'limitAnswer', value });
      sender.send(to, { case: 'limitAnswer', value });
    }
    const value = create(PlacementRequestSchema, { service: 's' });
    sender.send(to, { case: 'placementRequest', value });
    sender.sendDatagram(to, { case: 'placementRequest', value });
    while (received.length < 2) await sleep(5);
    expect(received).toEqual(['placementRequest', 'placementRequest']);
    expect(logged).toEqual(Array.from({ length: 8 }, () => ['message_not_encoded', 'limitAnswer']));
  });
});
