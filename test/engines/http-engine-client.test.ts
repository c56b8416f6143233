import net from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HttpEngineClient } from '../../src/engines/http-engine-client.js';

const RUN_NONE = { ran: 'no', incarnation: 'i' };
const RUN_YES = { ran: 'yes', incarnation: 'i' };

function replyBytes(body: unknown): string {
  const text = JSON.stringify(body);
  return `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
}

describe('HttpEngineClient', () => {
  let client: HttpEngineClient;
  let server: net.Server;
  let address: string;
  /** Bytes of the reply to each call, by its id. */
  const replies = new Map<string, string>();

  beforeEach(async () => {
    replies.clear();
    client = new HttpEngineClient();
    // Sends the first reply on each connection again where the next one should come.
    server = net.createServer((socket) => {
      let copy = '';
      socket.on('error', () => socket.destroy());
      socket.on('data', (bytes) => {
        const id = /requests\/(\w+)/.exec(bytes.toString())?.[1] ?? '';
        const reply = replies.get(id) ?? '';
        socket.write(copy + reply);
        copy = reply;
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  });
  afterEach(() => {
    client.close();
    server.close();
  });

  it('does not take a second reply to one cancellation for the reply to the next', async () => {
    replies.set('a', replyBytes(RUN_NONE)).set('b', replyBytes(RUN_YES));
    const first = await client.cancel(address, 'a');
    const second = await client.cancel(address, 'b');
    expect([first, second].map((reply) => reply.unwrapOr(undefined))).toEqual([RUN_NONE, RUN_YES]);
  });

  describe('with a malformed message', () => {
    const MALFORMED = [
      'null',
      '1',
      '"x"',
      '[]',
      '{"type":"token"}',
      '{"type":"token","offset":0.5,"text":"a"}',
      '{"type":"accepted"}',
      '{"type":"done","tokens":1}',
    ];

    function streamBytes(lines: readonly string[]): string {
      const text = lines.join('\n') + '\n';
      return `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n${text}`;
    }

    it.each(MALFORMED.filter((line) => line !== '[]'))(
      'breaks the stream of its request only: %s',
      async (line) => {
        replies.set(
          'a',
          streamBytes(['{"type":"accepted","load":{"inFlight":1,"slots":2}}', line]),
        );
        const events: string[] = [];
        const message = await new Promise((resolve) => {
          client.resume(address, 'a', 0, {
            onAccepted: () => events.push('accepted'),
            onRefused: () => events.push('refused'),
            onToken: () => events.push('token'),
            onDone: () => events.push('done'),
            onBroken: (failure) => resolve(failure.message),
          });
        });
        expect(events).toEqual(['accepted']);
        expect(message).toBe('the engine sent a malformed message');
      },
    );

    it.each(MALFORMED)('loses the reply to its call only: %s', async (reply) => {
      replies.set('a', streamBytes([reply]));
      expect((await client.cancel(address, 'a')).isErr).toBe(true);
    });

    it.each(MALFORMED)('breaks its stream of reports only: %s', async (line) => {
      replies.set('', streamBytes([line]));
      const reports: unknown[] = [];
      await new Promise<void>((resolve) => {
        const onReport = (report: unknown): void => void reports.push(report);
        client.watchReports(address, { onReport, onBroken: () => resolve() });
      });
      expect(reports).toEqual([]);
    });
  });
});
