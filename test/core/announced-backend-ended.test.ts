/*
 * Guards against requests to an ended backend that this daemon knows only from a peer's announcement. Its entry expired during a
 * store outage, and lists read after the outage did not end announced backends for 10 s. Nine gateways sent it requests for 7.5 s
 * after the entry was gone, 4.2 s of them after the store had recovered. The gateway that had listed the backend logged
 * `backend_ended source=hold_over` at 51.556 but did not announce the end because it no longer owned anything. The gateways that read
 * the list (readers) logged `source=list revision=93` only at 52.835, with the next change of any entry.
 */
import { describe, expect, it } from 'vitest';
import { BackendPresence } from '../../src/core/backend-presence.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import { backendOf } from '../gateway/directory-group.js';

const ANNOUNCED: BackendRecord = backendOf('told', 66);
const LISTED: BackendRecord = backendOf('listed', 1);
/** Time after the store's recovery within which expired entries are restored. */
const GRACE_MS = 1_800;

describe('a backend that was announced by a peer and is not listed yet', () => {
  function presenceWithAnnouncement(): BackendPresence {
    const presence = new BackendPresence();
    presence.applyList({ backends: [LISTED], revision: 60, mayMissBackends: false }, 0);
    presence.addAnnounced(ANNOUNCED, 100);
    return presence;
  }

  function ids(presence: BackendPresence): string[] {
    return presence.all().map(({ id }) => id);
  }

  it('ends after the grace period when a newer list read after an outage lacks it', () => {
    const presence = presenceWithAnnouncement();
    const list = { backends: [LISTED], revision: 88, mayMissBackends: true };
    expect(presence.applyList(list, 5_000).ended).toEqual([]);
    expect(ids(presence)).toContain('told');
    expect(presence.expire(5_000 + GRACE_MS)).toEqual([{ id: 'told', revision: 88 }]);
    expect(ids(presence)).toEqual(['listed']);
  });
});
