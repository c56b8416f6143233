import { create } from '@bufbuild/protobuf';
import { describe, expect, it } from 'vitest';
import { decodeDirectoryReport, encodeDirectoryReport } from '../../src/gateway/gateway-codec.js';
import { BackendStartSchema, DirectoryNewsSchema } from '../../src/proto/gen/internal_pb.js';
import { backendOf } from './directory-group.js';

describe('directory updates', () => {
  it('include the start of the backend process that they report', () => {
    const started = [{ ...backendOf('x', 3), start: '17' }];
    const update = { configurationVersion: 1, ended: [], started, platformAway: false };
    const body = encodeDirectoryReport({ ...update, servingDigest: undefined });
    if (body.case !== 'directoryNews') throw new Error('the message is not a directory update');
    expect(decodeDirectoryReport(body.value, 0).started).toEqual(started);
  });

  it('are decoded from a daemon whose messages do not contain the start', () => {
    const starts = [create(BackendStartSchema, { backend: 'x', revision: 3, service: 'service' })];
    const { started } = decodeDirectoryReport(create(DirectoryNewsSchema, { starts }), 0);
    expect(started).toMatchObject([{ id: 'x', revision: 3 }]);
    expect(started[0]?.start).toBeUndefined();
  });
});
