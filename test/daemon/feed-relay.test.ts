import { describe, expect, it } from 'vitest';
import { FeedRelay } from '../../src/daemon/feed-relay.js';
import type { PeerBody } from '../../src/daemon/peer-transport.js';
import { Feed } from '../../src/proto/gen/internal_pb.js';

/**
 * A simulated network of relays: messages are delivered immediately, and the clock is simulated.
 */
class Network {
  now = 1_000;
  readonly relays = new Map<string, FeedRelay>();
  readonly paused = new Set<string>();

  add(address: string, token: number): FeedRelay {
    const relay = new FeedRelay({
      feed: Feed.CONFIGURATION,
      clock: { now: () => this.now },
      token,
      send: (to, body) => this.deliver(address, to, body),
      onChange: () => {},
    });
    this.relays.set(address, relay);
    return relay;
  }

  heartbeat(from: string): void {
    for (const to of this.relays.get(from)?.subscriberAddresses() ?? []) {
      const position = this.relays.get(from)?.positionFor(to);
      if (position !== undefined && !this.paused.has(to)) {
        this.relays.get(to)?.handlePosition(from, position);
      }
    }
  }

  private deliver(from: string, to: string, body: PeerBody): void {
    const relay = this.relays.get(to);
    if (relay === undefined || this.paused.has(to)) return;
    if (body.case === 'subscribe')
      relay.handleSubscribe(from, body.value.revision, body.value.token);
    if (body.case === 'delta') relay.handleDelta(from, body.value);
    if (body.case === 'snapshot') relay.handleSnapshot(from, body.value);
  }
}

const entry = (revision: number): { key: string; revision: number; value: Uint8Array } => ({
  key: 'tenant/till',
  revision,
  value: Buffer.from(String(revision)),
});

describe('FeedRelay', () => {
  it('forwards deltas to subscribers, and sends a snapshot to a late subscriber', () => {
    const network = new Network();
    const reader = network.add('reader', 1);
    const early = network.add('early', 2);
    early.setUpstreams(['reader']);
    reader.applyLocalDelta(0, 1, [entry(1)]);
    expect(early.state.revision).toBe(1);
    const late = network.add('late', 3);
    late.setUpstreams(['reader']);
    expect(late.state.get('tenant/till')).toEqual(entry(1).value);
  });

  it('does not keep all versions of a large object for subscribers that reconnect', () => {
    const sent: PeerBody['case'][] = [];
    const relay = new FeedRelay({
      feed: Feed.CONFIGURATION,
      clock: { now: () => 0 },
      token: 1,
      send: (_to, { case: kind }) => sent.push(kind),
      onChange: () => {},
    });
    const value = new Uint8Array(1024 * 1024);
    for (let revision = 1; revision <= 100; revision++)
      relay.applyLocalDelta(revision - 1, revision, [{ key: 'tenant/till', revision, value }]);
    relay.handleSubscribe('behind', 1, 2);
    expect(sent).toEqual(['snapshot']);
    relay.handleSubscribe('interrupted', 99, 3);
    expect(sent).toEqual(['snapshot', 'delta']);
  });

  it('recovers a missed delta after the next heartbeat', () => {
    const network = new Network();
    const reader = network.add('reader', 1);
    const member = network.add('member', 2);
    member.setUpstreams(['reader']);
    network.paused.add('member');
    reader.applyLocalDelta(0, 1, [entry(1)]);
    network.paused.delete('member');
    expect(member.state.revision).toBe(0);
    network.heartbeat('reader');
    expect(member.state.revision).toBe(1);
  });

  it('subscribes again after the upstream has dropped its subscription', () => {
    const network = new Network();
    const reader = network.add('reader', 1);
    const member = network.add('member', 2);
    member.setUpstreams(['reader']);
    reader.dropSubscriber('member');
    reader.applyLocalDelta(0, 1, [entry(1)]);
    network.heartbeat('reader');
    expect(member.state.revision).toBe(0);
    network.now += 3_000;
    member.resubscribeSilentUpstreams();
    expect(member.state.revision).toBe(1);
  });

  it('is confirmed only after the platform has confirmed the upstream since the subscription', () => {
    const network = new Network();
    const reader = network.add('reader', 1);
    reader.applyLocalDelta(0, 1, [entry(1)]);
    reader.confirm();
    network.now += 10;
    const member = network.add('member', 2);
    member.setUpstreams(['reader']);
    network.heartbeat('reader');
    expect(member.isConfirmed).toBe(false);
    network.now += 10;
    reader.confirm();
    network.heartbeat('reader');
    expect(member.isConfirmed).toBe(true);
  });

  it('is not confirmed by a heartbeat addressed to an earlier process', () => {
    const network = new Network();
    const reader = network.add('reader', 1);
    const member = network.add('member', 2);
    member.setUpstreams(['reader']);
    network.now += 10;
    reader.confirm();
    const stale = reader.positionFor('member');
    const restarted = network.add('member', 3);
    if (stale !== undefined) restarted.handlePosition('reader', stale);
    expect(restarted.isConfirmed).toBe(false);
  });
});
