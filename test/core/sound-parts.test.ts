import { expect, it } from 'vitest';
import { SoundParts } from '../../src/core/sound-parts.js';

it('clears a part for some time after an answer', () => {
  const parts = new SoundParts();
  expect(parts.isSound('a', 0)).toBe(false);
  parts.recordAnswer('a', 1_000);
  expect(parts.isSound('a', 121_000)).toBe(true);
  expect(parts.isSound('a', 121_001)).toBe(false);
});

it('forgets the parts not answered for longest when there are too many', () => {
  const parts = new SoundParts();
  for (let index = 0; index < 5_000; index++) {
    parts.recordAnswer('shared', index);
    parts.recordAnswer(`${index}`, index);
  }
  expect(parts.isSound('shared', 5_000)).toBe(true);
  expect(parts.isSound('0', 5_000)).toBe(false);
  expect(parts.isSound('4999', 5_000)).toBe(true);
});
