/**
 * Guards against invalid entries that another program writes to the server list. Such an entry could receive requests
 * (with an empty service or an invalid address), count as leaving, or prevent the whole list from being read.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { readEntries, serverEntry, type LogLine } from './server-entries.js';

const INVALID_ENTRIES: Readonly<Record<string, unknown>> = {
  'no-service': serverEntry({ service: undefined }),
  'empty-service': serverEntry({ service: '' }),
  'numbered-service': serverEntry({ service: 7 }),
  'no-address': serverEntry({ address: undefined }),
  'odd-address': serverEntry({ address: 'here' }),
  'no-port': serverEntry({ address: '10.1.0.1:99999' }),
  'listed-zone': serverEntry({ zone: ['a'] }),
  'no-slots': serverEntry({ slots: undefined }),
  'worded-slots': serverEntry({ slots: '4' }),
  'negative-slots': serverEntry({ slots: -4 }),
  'unknown-state': serverEntry({ state: 'resting' }),
  'no-state': serverEntry({ state: undefined }),
  'worded-seq': serverEntry({ seq: 'one' }),
  'negative-seq': serverEntry({ seq: -1 }),
  'one-model': serverEntry({ models: 'm' }),
  'nameless-model': serverEntry({ models: [{ version: 1 }] }),
  'odd-adapters': serverEntry({ models: [{ name: 'm', adapters: { a: 1 } }] }),
  'odd-copies': serverEntry({ atHand: { inMemory: 'm' } }),
  text: 'servers',
  nothing: null,
  list: [serverEntry()],
  'name\nof two lines': serverEntry(),
};

describe('an invalid entry of another program', () => {
  let read: Awaited<ReturnType<typeof readEntries>> | undefined;

  afterEach(() => read?.stop());

  function unreadLines(): LogLine[] {
    return (read?.lines ?? []).filter(({ event }) => event === 'backend_entry_unread');
  }

  it('is not a backend and does not affect the other entries', async () => {
    const models = [{ name: 'm', version: 1, adapters: ['a'] }, { name: 'n' }];
    const complete = serverEntry({ models, atHand: { inMemory: ['m'] }, state: 'draining' });
    read = await readEntries({ first: serverEntry(), ...INVALID_ENTRIES, last: complete });
    expect(read.backends.map(({ id }) => id)).toEqual(['first', 'last']);
    expect(read.backends[1]).toMatchObject({ leaving: true, inMemory: ['m'], onDisk: [] });
    expect(unreadLines()).toHaveLength(Object.keys(INVALID_ENTRIES).length);
    expect(unreadLines()[0]).toMatchObject({ name: 'no-service', revision: 1, reason: 'service' });
  });

  it('is logged once per revision, regardless of further changes of the list', async () => {
    const foreign = serverEntry({ state: 'resting' });
    read = await readEntries({ good: serverEntry(), foreign });
    const good = { name: 'good', finalizers: [], spec: serverEntry() };
    await read.change([{ ...good, revision: 2 }]);
    await read.change([{ ...good, revision: 3 }]);
    expect(unreadLines()).toHaveLength(1);
    await read.change([{ name: 'foreign', finalizers: [], revision: 4, spec: 'bytes' }]);
    expect(unreadLines()).toHaveLength(2);
    expect(read.backends.map(({ id }) => id)).toEqual(['good']);
  });

  it('that replaces a server removes the backend until the server writes its entry again', async () => {
    read = await readEntries({ good: serverEntry() });
    await read.change([{ name: 'good', finalizers: [], revision: 2, spec: 'bytes' }]);
    expect(read.backends).toEqual([]);
    await read.change([{ name: 'good', finalizers: [], revision: 3, spec: serverEntry() }]);
    expect(read.backends.map(({ id }) => id)).toEqual(['good']);
  });
});
