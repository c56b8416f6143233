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

/** An encoded field that no build defines: number 900, two bytes long. */
const UNKNOWN_FIELD = Buffer.from('a2380201ff', 'hex');

const commit = process.env.RECORD_BUILD;
if (commit !== undefined) recordBuild(commit);

function decodeBase64(text: string): Uint8Array {
  return new Uint8Array(Buffer.from(text, 'base64'));
}

/** Returns the member addresses that a daemon reads from a store record with this value. */
async function memberAddressesFrom(value: unknown): Promise<readonly string[]> {
  const record: StoredRecord = { name: 'other', value, revision: 1 };
  const store = {
    era: () => 0,
    list: () => Promise.resolve(Result.ok([record])),
    write: () => Promise.resolve(Result.ok(record)),
    remove: () => Promise.resolve(),
  } as unknown as RecordStore;
  const peers = {
    address: '10.0.0.9:1',
    addSeeds: () => {},
    setListed: () => {},
  } as unknown as PeerGroup;
  const settings = parseGatewaySettings(deployedSettings(), 'test');
  if (settings.isErr) throw new Error(settings.error.message);
  const list = new MemberList(settings.value, store, peers, silentLogger);
  list.start();
  await sleep(20);
  await list.leave();
  return list.listed.map(({ address }) => address);
}

describe.each(recordedBuilds())('compatibility with the build %s', (_, recorded: RecordedBuild) => {
  it.each(Object.entries(recorded.messages))(
    'decodes its message %s without unknown fields',
    (kind, text) => {
      const message = fromBinary(EnvelopeSchema, decodeBase64(text));
      expect(message.body.case, 'keep every message kind that the recorded build sends').toBe(kind);
      expect(message.$unknown, 'keep every field that the recorded build sends').toBeUndefined();
      expect(Buffer.from(toBinary(EnvelopeSchema, message)).toString('base64')).toBe(text);
    },
  );

  it('keeps the number and type of each field that it reads', () => {
    const now = thisBuild();
    expect(now.schema, 'give a changed field a new number and keep the old one').toMatchObject(
      recorded.schema,
    );
  });

  it('does not reuse a field number of its schema for another field', () => {
    const now = thisBuild().schema;
    for (const [message, fields] of Object.entries(recorded.schema)) {
      const byNumber = new Map(Object.entries(fields).map(([name, { number }]) => [number, name]));
      for (const [name, { number }] of Object.entries(now[message] ?? {})) {
        expect(byNumber.get(number) ?? name, `${message}.${name}: use an unused field number`).toBe(
          name,
        );
      }
    }
  });

  it('has the same enumeration values', () => {
    const hint =
      'the recorded build cannot interpret a new enumeration value: add a new field instead';
    expect(thisBuild().enumerations, hint).toEqual(recorded.enumerations);
  });

  it('accepts its settings', () => {
    expect(parseGatewaySettings(recorded.settings, 'test').isOk).toBe(true);
  });

  it('deploys only settings that it accepts', () => {
    const { policies = {} } = deployedSettings() as { policies?: Record<string, boolean> };
    const hint = 'add a new policy to the template one release after the code that supports it';
    expect(recorded.policies, hint).toEqual(expect.arrayContaining(Object.keys(policies)));
    expect(Object.keys(deployedSettings() as object)).toEqual(
      expect.arrayContaining(Object.keys(recorded.settings as object)),
    );
  });

  it('reads its stored records', async () => {
    const { owners, members } = recorded.records;
    expect(parseOwnerRecord(owners)).toEqual(owners);
    expect(await memberAddressesFrom(members)).toEqual([(members as { address: string }).address]);
  });
});

describe('compatibility with a later build', () => {
  it.each(Object.entries(thisBuild().messages))(
    'decodes %s with an additional field',
    (kind, text) => {
      const bytes = Buffer.concat([decodeBase64(text), UNKNOWN_FIELD]);
      expect(fromBinary(EnvelopeSchema, bytes).body.case).toBe(kind);
    },
  );

  it('does not decode a message of an unknown kind as a known kind', () => {
    expect(fromBinary(EnvelopeSchema, UNKNOWN_FIELD).body.case).toBeUndefined();
  });

  it('reads records with an additional field', async () => {
    const { owners, members } = thisBuild().records;
    expect(parseOwnerRecord({ ...(owners as object), later: { a: 1 } })).toEqual(owners);
    expect(await memberAddressesFrom({ ...(members as object), later: 1 })).toHaveLength(1);
  });

  it('takes no owner and no member from a malformed record', async () => {
    for (const value of [undefined, null, 7, 'text', [], { address: 7 }, { epoch: 'x' }]) {
      expect(parseOwnerRecord(value)).toBeUndefined();
      expect(await memberAddressesFrom(value)).toEqual([]);
    }
  });

  it('accepts settings with an additional key, and rejects an unknown policy by its name', () => {
    const settings = deployedSettings() as { policies: object };
    expect(parseGatewaySettings({ ...settings, later: 1 }, 'test').isOk).toBe(true);
    const policies = { ...settings.policies, laterPolicy: true };
    const refused = parseGatewaySettings({ ...settings, policies }, 'test');
    expect(refused.isErr && refused.error.message).toContain('laterPolicy');
  });
});
