import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import { silentLogger } from '../../src/common/logger.js';
import { sleep } from '../../src/common/process.js';
import { MemberList } from '../../src/gateway/member-list.js';
import { parseGatewaySettings } from '../../src/gateway/gateway-settings.js';
import { parseOwnerRecord } from '../../src/gateway/owner-record.js';
import type { PeerGroup } from '../../src/gateway/peer-group.js';
import type { RecordStore, StoredRecord } from '../../src/gateway/ports.js';
import { EnvelopeSchema } from '../../src/proto/gen/internal_pb.js';
import {
  deployedSettings,
  recordBuild,
  recordedBuilds,
  thisBuild,
  type RecordedBuild,
} from './recorded-build.js';

/** A field that no build has: number 900, of two bytes. */
const UNKNOWN_FIELD = Buffer.from('a2380201ff', 'hex');

const commit = process.env.RECORD_BUILD;
if (commit !== undefined) recordBuild(commit);

function bytesOf(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text, 'base64'));
}

/** Addresses that a daemon takes from the list in the store. */
async function membersReadFrom(value: unknown): Promise<readonly string[]> {
  const record: StoredRecord = { name: 'other', value, revision: 1 };
  const store = {
    era: () => 0,
    list: () => Promise.resolve(Result.ok([record])),
    write: () => Promise.resolve(Result.ok(record)),
    remove: () => Promise.resolve(),
  } as unknown as RecordStore;
  const peers = { address: '10.0.0.9:1', addSeeds: () => {} } as unknown as PeerGroup;
  const settings = parseGatewaySettings(deployedSettings(), 'test');
  if (settings.isErr) throw new Error(settings.error.message);
  const list = new MemberList(settings.value, store, peers, silentLogger);
  list.start();
  await sleep(20);
  await list.leave();
  return list.listed.map(({ address }) => address);
}

describe.each(recordedBuilds())('beside the build of %s', (_, earlier: RecordedBuild) => {
  it.each(Object.entries(earlier.messages))('its message %s is read whole', (kind, text) => {
    const message = fromBinary(EnvelopeSchema, bytesOf(text));
    expect(message.body.case, 'a kind that it sends must stay in the protocol').toBe(kind);
    expect(message.$unknown, 'a field that it sends must stay in the protocol').toBeUndefined();
    expect(Buffer.from(toBinary(EnvelopeSchema, message)).toString('base64')).toBe(text);
  });

  it('each field that it reads keeps its number and its type', () => {
    const now = thisBuild();
    expect(now.schema, 'give a changed field a new number and keep the old one').toMatchObject(
      earlier.schema,
    );
  });

  it('no number of its fields has another meaning', () => {
    const now = thisBuild().schema;
    for (const [message, fields] of Object.entries(earlier.schema)) {
      const byNumber = new Map(Object.entries(fields).map(([name, { number }]) => [number, name]));
      for (const [name, { number }] of Object.entries(now[message] ?? {})) {
        expect(byNumber.get(number) ?? name, `${message}.${name}: take a free number`).toBe(name);
      }
    }
  });

  it('values of enumerations are those that it knows', () => {
    const hint = 'it would take a new value for an unknown number: give it a field of its own';
    expect(thisBuild().enumerations, hint).toEqual(earlier.enumerations);
  });

  it('its settings start this build', () => {
    expect(parseGatewaySettings(earlier.settings, 'test').isOk).toBe(true);
  });

  it('the settings that are deployed start it', () => {
    const { policies = {} } = deployedSettings() as { policies?: Record<string, boolean> };
    const hint = 'name a new policy in the template one landing after the code that knows it';
    expect(earlier.policies, hint).toEqual(expect.arrayContaining(Object.keys(policies)));
    expect(Object.keys(deployedSettings() as object)).toEqual(
      expect.arrayContaining(Object.keys(earlier.settings as object)),
    );
  });

  it('its records are read', async () => {
    const { owners, members } = earlier.records;
    expect(parseOwnerRecord(owners)).toEqual(owners);
    expect(await membersReadFrom(members)).toEqual([(members as { address: string }).address]);
  });
});

describe('beside a later build', () => {
  it.each(Object.entries(thisBuild().messages))('%s with a field more is read', (kind, text) => {
    const bytes = Buffer.concat([bytesOf(text), UNKNOWN_FIELD]);
    expect(fromBinary(EnvelopeSchema, bytes).body.case).toBe(kind);
  });

  it('a message of an unknown kind is none of a known kind', () => {
    expect(fromBinary(EnvelopeSchema, UNKNOWN_FIELD).body.case).toBeUndefined();
  });

  it('records with a field more are read', async () => {
    const { owners, members } = thisBuild().records;
    expect(parseOwnerRecord({ ...(owners as object), later: { a: 1 } })).toEqual(owners);
    expect(await membersReadFrom({ ...(members as object), later: 1 })).toHaveLength(1);
  });

  it('a record that cannot be understood names nobody', async () => {
    for (const value of [undefined, null, 7, 'text', [], { address: 7 }, { epoch: 'x' }]) {
      expect(parseOwnerRecord(value)).toBeUndefined();
      expect(await membersReadFrom(value)).toEqual([]);
    }
  });

  it('settings with a key more are read, and with an unknown policy refused with its name', () => {
    const settings = deployedSettings() as { policies: object };
    expect(parseGatewaySettings({ ...settings, later: 1 }, 'test').isOk).toBe(true);
    const policies = { ...settings.policies, laterPolicy: true };
    const refused = parseGatewaySettings({ ...settings, policies }, 'test');
    expect(refused.isErr && refused.error.message).toContain('laterPolicy');
  });
});
