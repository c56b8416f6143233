/*
 * Requests of nine gateways went to a backend for 7.5 s after its entry had gone in an outage of the store, and for 4.2 s after the
 * store's return: they knew of it by a reader's word only, and a list of after the outage that lacks what was only told says nothing
 * of it for 10 s. The one that had listed it wrote `backend_ended source=hold_over` at 51.556 and told nobody, since it owned nothing
 * any more; the readers wrote `source=list revision=93` at 52.835, with the next change of any entry.
 */
import { describe, expect, it } from 'vitest';
import { BackendPresence } from '../../src/core/backend-presence.js';
import type { BackendRecord } from '../../src/core/service-configuration.js';
import { backendOf } from '../gateway/directory-group.js';

const TOLD: BackendRecord = backendOf('told', 66);
const LISTED: BackendRecord = backendOf('listed', 1);
/** Entries that lapsed are back so long after the store's return. */
const HOLD_MS = 1_800;

describe('a backend that was told of and not listed yet', () => {
  function informed(): BackendPresence {
    const presence = new BackendPresence();
    presence.take({ backends: [LISTED], revision: 60, mayMissBackends: false }, 0);
    presence.noteStarted(TOLD, 100);
    return presence;
  }

  function ids(presence: BackendPresence): string[] {
    return presence.all().map(({ id }) => id);
  }

  it('ends like any other where a list of after an outage that knows of it lacks it', () => {
    const presence = informed();
    const list = { backends: [LISTED], revision: 88, mayMissBackends: true };
    expect(presence.take(list, 5_000).ended).toEqual([]);
    expect(ids(presence)).toContain('told');
    expect(presence.expire(5_000 + HOLD_MS)).toEqual([{ id: 'told', revision: 88 }]);
    expect(ids(presence)).toEqual(['listed']);
  });
});
