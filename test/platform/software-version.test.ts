/** Guards against a backend whose software version is lost when the server list is read. */
import { afterEach, expect, it } from 'vitest';
import { readEntries, serverEntry } from './server-entries.js';

let read: Awaited<ReturnType<typeof readEntries>> | undefined;

afterEach(() => read?.stop());

it('reads the software version of each server', async () => {
  read = await readEntries({
    text: serverEntry({ version: 'v1.1' }),
    number: serverEntry({ version: 2 }),
    absent: serverEntry({ version: undefined }),
    unreadable: serverEntry({ version: { major: 1 } }),
  });
  const versions = Object.fromEntries(read.backends.map((each) => [each.id, each.softwareVersion]));
  expect(versions).toEqual({ text: 'v1.1', number: '2', absent: '', unreadable: undefined });
});
