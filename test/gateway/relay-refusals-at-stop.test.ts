import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { encodeRelayTarget, relayAddressOf } from '../../src/gateway/relay-protocol.js';
import { answerEvents, GatewayHarness, pause, TestBackend } from './gateway-harness.js';
import { PIECE, RawCaller } from './raw-caller.js';

/** A moment at which a stop refuses new requests, and a stream of a caller still runs. */
const AFTER_BALANCER_DELAY_MS = 2_350;
/** Pieces of the body, one each 20 ms: it ends after the stream. */
const PIECES = 20;

describe('a refusal to another daemon that is still sending the body', () => {
  let harness: GatewayHarness;
  let backend: TestBackend;

  beforeEach(async () => {
    backend = new TestBackend('one');
    harness = await GatewayHarness.startWithBackends([backend]);
  });

  afterEach(() => {
    harness.stop();
    backend.stop();
  });

  it('is not reset by the end of the stop, so that the other daemon knows that nothing was sent', async () => {
    const peer = new RawCaller(relayAddressOf(harness.peerAddress));
    const target = encodeRelayTarget({ backend: 'one', path: '/work/x' });
    backend.handle = answerEvents(1, 25, 100);
    const answer = harness.call({ id: 'a' });
    await pause(50);
    const stopped = harness.gateway.drain();
    await pause(AFTER_BALANCER_DELAY_MS);
    peer.write(
      `POST ${target} HTTP/1.1\r\nhost: x\r\ncontent-length: ${PIECES * PIECE.length}\r\n\r\n`,
    );
    for (let piece = 0; piece < PIECES; piece++) {
      peer.write(PIECE);
      await pause(20);
    }
    await pause(100);
    expect(peer.status).toBe(503);
    expect(peer.received).toContain('draining');
    expect(peer.closedBy).toBe('end');
    expect((await answer).complete).toBe(true);
    peer.close();
    await stopped;
  });
});
