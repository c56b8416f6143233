/** Guards against a malformed address, in the store's list of daemons or in another daemon's message, that stops a daemon's periodic work. */
import { afterEach, describe, expect, it } from 'vitest';
import { create } from '@bufbuild/protobuf';
import { decodeMembership } from '../../src/daemon/codec.js';
import {
  MemberState,
  MemberUpdateSchema,
  PingRequestSchema,
  PingSchema,
} from '../../src/proto/gen/internal_pb.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import { decodeMemberEntry } from '../../src/gateway/member-codec.js';
import { GatewayHarness, pause } from './gateway-harness.js';

const MALFORMED = ['', 'nonsense', '127.0.0.1', '127.0.0.1:0', '127.0.0.1:65536', 'host:1'];

describe('a malformed address', () => {
  let harness: GatewayHarness | undefined;
  afterEach(() => harness?.stop());

  it('of a daemon in the store does not stop the periodic work', async () => {
    harness = await GatewayHarness.prepare();
    for (const [index, address] of MALFORMED.entries()) {
      const name = `bad-${index}`;
      harness.records.set(`members/${name}`, { name, value: { address, zone: 'a' }, revision: 1 });
    }
    await harness.gateway.start();
    await pause(1_500);
    expect(harness.lines.filter(({ event }) => event.endsWith('_fault'))).toEqual([]);
    expect(harness.liveMembers()).toBe(1);
  });

  it.each(MALFORMED)('%j gets no message, and the sender goes on', async (address) => {
    harness = await GatewayHarness.start();
    const peers = (harness.gateway as unknown as { peers: PeerGroup }).peers;
    const body = { case: 'ping', value: create(PingSchema, { sequence: 1 }) } as const;
    peers.send(address, body);
    peers.sendDatagram(address, body);
    const lines = harness.lines.filter(({ event }) => event === 'malformed_address');
    expect(lines).toMatchObject([{ fields: { to: address } }, { fields: { to: address } }]);
  });

  it.each(MALFORMED)('%j is dropped from records and messages', (address) => {
    expect(decodeMemberEntry({ address, zone: 'a' })).toBeUndefined();
    const update = create(MemberUpdateSchema, { address, zone: 'a', state: MemberState.ALIVE });
    const ping = create(PingSchema, { sequence: 1, updates: [update] });
    expect(decodeMembership({ case: 'ping', value: ping })).toMatchObject({ updates: [] });
    const request = create(PingRequestSchema, { sequence: 1, target: address, updates: [] });
    expect(decodeMembership({ case: 'pingRequest', value: request })).toBeUndefined();
  });
});
