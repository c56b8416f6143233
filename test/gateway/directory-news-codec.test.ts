import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { decodeNews, encodeNews } from '../../src/gateway/gateway-codec.js';
import { BackendStartSchema, DirectoryNewsSchema } from '../../src/proto/gen/internal_pb.js';
import { backendOf } from './directory-group.js';

describe('news of the directory', () => {
  it('carry which start of a backend they tell of', () => {
    const started = [{ ...backendOf('x', 3), start: '17' }];
    const news = { configurationVersion: 1, ended: [], started, platformAway: false };
    const body = encodeNews({ ...news, servingDigest: undefined });
    if (body.case !== 'directoryNews') throw new Error('no news');
    expect(decodeNews(body.value, 0).started).toEqual(started);
  });

  it('are understood from a daemon that knows of no starts', () => {
    const starts = [create(BackendStartSchema, { backend: 'x', revision: 3, service: 'service' })];
    const { started } = decodeNews(create(DirectoryNewsSchema, { starts }), 0);
    expect(started).toMatchObject([{ id: 'x', revision: 3 }]);
    expect(started[0]?.start).toBeUndefined();
  });
});
