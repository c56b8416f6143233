import { expect, it } from 'vitest';
import { readEntries, serverEntry } from './server-entries.js';

it('identifies the start of a server by a string or number in `born`, and by nothing else', async () => {
  const read = await readEntries({
    text: serverEntry({ born: 'k3' }),
    number: serverEntry({ born: 1_764_000_000_123.5 }),
    none: serverEntry(),
    odd: serverEntry({ born: { at: 1 } }),
  });
  read.stop();
  const starts = read.backends.map(({ id, start }) => [id, start]);
  expect(starts).toEqual([
    ['text', 'k3'],
    ['number', '1764000000123.5'],
    ['none', undefined],
    ['odd', undefined],
  ]);
});
