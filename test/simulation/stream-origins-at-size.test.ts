/**
 * Where a stream has begun is known after daemons have been killed, in groups of 6, 90 and 330 daemons, and what it costs. Compares
 * the holders that the product tells with fewer ones, and with telling nobody and asking all.
 */
import { create, toBinary } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { rankCandidates } from '../../src/common/rendezvous.js';
import { lookupTargets, holdersOf } from '../../src/core/stream-origin-holders.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { encodeNotice } from '../../src/gateway/stream-origin-codec.js';
import { EnvelopeSchema } from '../../src/proto/gen/internal_pb.js';
import { SeededRandom } from '../soak/seeded-random.js';

const GROUPS = [6, 90, 330];
const STREAMS = 400;
const DATAGRAM_HEADER_BYTES = 28;
/** Share of datagrams that are lost. */
const LOSS = 0.05;
/** Streams that one daemon begins per second at the target load. */
const STREAMS_PER_SECOND = 2_200 / 330;
/** Bytes per second, sent and received, that a daemon may spend on all of its control at the target load. */
const CONTROL_BYTES_PER_SECOND = 7_000;

type Holders = (stream: string, others: readonly string[]) => string[];

const notified =
  (count: number): Holders =>
  (stream, others) =>
    rankCandidates(stream, others).slice(0, count);

function membersOf(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `10.0.${index >> 8}.${index & 255}:7380`);
}

/** Share of streams whose origin is known after the serving daemon and `killed` others are dead and `joined` new ones are there. */
function knownShare(count: number, holders: Holders, killed: number, joined = 0): number {
  const random = new SeededRandom(7);
  const members = membersOf(count);
  const newcomers = membersOf(count + joined).slice(count);
  let known = 0;
  for (let index = 0; index < STREAMS; index++) {
    const stream = `stream-${index}`;
    const [server = '', ...others] = random.shuffled(members);
    const holding = holders(stream, others).filter(() => !random.chance(LOSS));
    const alive = [...others.slice(killed), ...newcomers];
    const asker = random.pick(alive) ?? '';
    // Membership may still list the dead daemons.
    const reachable = [server, ...others, ...newcomers].filter((each) => each !== asker);
    const asked = [asker, ...lookupTargets(stream, reachable)];
    if (asked.some((each) => alive.includes(each) && holding.includes(each))) known += 1;
  }
  return known / STREAMS;
}

function bytesOf(body: PeerBody): number {
  const envelope = create(EnvelopeSchema, { from: '10.128.0.9:7380', body });
  return toBinary(EnvelopeSchema, envelope).length + DATAGRAM_HEADER_BYTES;
}

const NOTICE = encodeNotice({
  stream: '00'.repeat(16),
  origin: { service: 'huvo11a', softwareVersion: 'v1.12' },
  lifetimeMs: 30_000,
});

describe.each(GROUPS)('in a group of %i daemons', (count) => {
  it('the origin of a stream outlives its daemon and two others', () => {
    expect(knownShare(count, holdersOf, 0)).toBeGreaterThan(0.99);
    expect(knownShare(count, holdersOf, 1)).toBeGreaterThan(0.99);
    expect(knownShare(count, holdersOf, 2)).toBeGreaterThan(0.99);
  });

  it('more than half of the origins outlive half of the daemons', () => {
    expect(knownShare(count, holdersOf, Math.ceil(count / 2))).toBeGreaterThan(0.6);
  });

  it('origins are found while daemons join', () => {
    expect(knownShare(count, holdersOf, 0, Math.ceil(count / 4))).toBeGreaterThan(0.99);
  });

  it('an origin without holders is lost with the daemon that serves the stream', () => {
    expect(knownShare(count, notified(0), 0)).toBe(0);
  });

  it('one holder loses more streams than the lossy links and dead daemons allow for', () => {
    const killed = Math.ceil(count / 2);
    expect(knownShare(count, notified(1), killed)).toBeLessThan(
      knownShare(count, holdersOf, killed),
    );
    expect(knownShare(count, notified(1), 0)).toBeLessThan(0.98);
  });
});

it('costs a daemon less than half of its budget for control at the target load', () => {
  const messages = holdersOf('stream', membersOf(330).slice(1)).length;
  const sentAndReceived = 2 * messages * bytesOf(NOTICE) * STREAMS_PER_SECOND;
  expect(sentAndReceived).toBeLessThan(CONTROL_BYTES_PER_SECOND / 2);
});
