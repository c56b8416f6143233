/** Converts between the types of `src/core` and the messages of the internal protocol. */
import { create } from '@bufbuild/protobuf';
import { isAddress } from '../common/address.js';
import type { FeedEntry } from '../core/feed.js';
import type {
  LivenessState,
  MemberView,
  ProbeMessage,
  StateMessage,
} from '../core/membership-messages.js';
import type { TenantLocation, TenantLocationState, WakeRequest } from '../core/pool-messages.js';
import {
  AckSchema,
  EntrySchema,
  LocationSchema,
  LocationState,
  MemberState,
  MemberUpdateSchema,
  MembershipStateSchema,
  PingRequestSchema,
  PingSchema,
  WakeSchema,
  type Entry,
  type Location,
  type MemberUpdate,
  type Wake,
} from '../proto/gen/internal_pb.js';
import type { PeerBody } from './peer-transport.js';

const MEMBER_STATES: Record<LivenessState, MemberState> = {
  alive: MemberState.ALIVE,
  suspect: MemberState.SUSPECT,
  dead: MemberState.DEAD,
  leaving: MemberState.LEAVING,
};

const LIVENESS: Record<MemberState, LivenessState> = {
  [MemberState.ALIVE]: 'alive',
  [MemberState.SUSPECT]: 'suspect',
  [MemberState.DEAD]: 'dead',
  [MemberState.LEAVING]: 'leaving',
};

const LOCATION_STATES: Record<TenantLocationState, LocationState> = {
  cold: LocationState.COLD,
  loading: LocationState.LOADING,
  loaded: LocationState.LOADED,
  no_capacity: LocationState.NO_CAPACITY,
  load_failed: LocationState.LOAD_FAILED,
  not_owner: LocationState.NOT_OWNER,
};

const TENANT_STATES: Record<LocationState, TenantLocationState> = {
  [LocationState.COLD]: 'cold',
  [LocationState.LOADING]: 'loading',
  [LocationState.LOADED]: 'loaded',
  [LocationState.NO_CAPACITY]: 'no_capacity',
  [LocationState.LOAD_FAILED]: 'load_failed',
  [LocationState.NOT_OWNER]: 'not_owner',
};

function encodeMember(view: MemberView): MemberUpdate {
  return create(MemberUpdateSchema, { ...view, state: MEMBER_STATES[view.state] });
}

/** Decodes updates about members; those about malformed addresses are dropped, because nothing could be sent to them. */
function decodeMembers(updates: readonly MemberUpdate[]): MemberView[] {
  return updates.filter(({ address }) => isAddress(address)).map(decodeMember);
}

function decodeMember(update: MemberUpdate): MemberView {
  const { address, zone, site, incarnation, capacity } = update;
  return { address, zone, site, incarnation, capacity, state: LIVENESS[update.state] ?? 'alive' };
}

/** Encodes a membership probe. */
export function encodeProbe(message: ProbeMessage): PeerBody {
  const updates = message.updates.map(encodeMember);
  const { sequence } = message;
  switch (message.type) {
    case 'ping':
      return { case: 'ping', value: create(PingSchema, { sequence, updates }) };
    case 'ack':
      return { case: 'ack', value: create(AckSchema, { sequence, updates }) };
    case 'ping_request': {
      const value = create(PingRequestSchema, { sequence, target: message.target, updates });
      return { case: 'pingRequest', value };
    }
  }
}

/** Decodes a membership probe; undefined for a message of another kind. */
function decodeProbe(body: PeerBody): ProbeMessage | undefined {
  switch (body.case) {
    case 'ping':
    case 'ack': {
      const { sequence, updates } = body.value;
      return { type: body.case, sequence, updates: decodeMembers(updates) };
    }
    case 'pingRequest': {
      const { sequence, target, updates } = body.value;
      if (!isAddress(target)) return undefined;
      return { type: 'ping_request', sequence, target, updates: decodeMembers(updates) };
    }
    default:
      return undefined;
  }
}

/** Encodes the full membership state of a daemon. */
export function encodeState(message: StateMessage): PeerBody {
  const members = message.members.map(encodeMember);
  const isAnswer = message.type === 'state_answer';
  const value = create(MembershipStateSchema, { members, isAnswer });
  return { case: 'membershipState', value };
}

/** Decodes a membership message; undefined for a message of another kind. */
export function decodeMembership(body: PeerBody): ProbeMessage | StateMessage | undefined {
  if (body.case !== 'membershipState') return decodeProbe(body);
  const { members, isAnswer } = body.value;
  const type = isAnswer ? 'state_answer' : 'state_request';
  return { type, members: decodeMembers(members) };
}

/** Encodes a wake request. */
export function encodeWake(pool: string, wake: WakeRequest): PeerBody {
  const { tenant, priority, deadline, waiting, inFlight } = wake;
  const value = create(WakeSchema, { pool, tenant, priority, deadline, waiting, inFlight });
  return { case: 'wake', value };
}

/** Decodes a wake request. */
export function decodeWake(from: string, wake: Wake): WakeRequest {
  const { tenant, priority, deadline, waiting, inFlight } = wake;
  return { router: from, tenant, priority, deadline, waiting, inFlight };
}

/** Encodes a tenant's location. */
export function encodeLocation(location: TenantLocation): PeerBody {
  const value = create(LocationSchema, {
    pool: location.pool,
    epoch: location.epoch,
    version: location.version,
    tenant: location.tenant,
    state: LOCATION_STATES[location.state],
    replicas: location.replicas.map((replica) => ({ ...replica })),
    readyInMs: Math.round(location.readyInMs),
    retryAfterMs: Math.round(location.retryAfterMs),
    routers: location.routers,
  });
  return { case: 'location', value };
}

/** Decodes a tenant's location. */
export function decodeLocation(location: Location): TenantLocation {
  const { pool, epoch, version, tenant, readyInMs, retryAfterMs, routers } = location;
  const replicas = location.replicas.map(({ engine, incarnation, share }) => ({
    engine,
    incarnation,
    share,
  }));
  const state = TENANT_STATES[location.state] ?? 'cold';
  return { pool, epoch, version, tenant, state, replicas, readyInMs, retryAfterMs, routers };
}

/** Encodes a feed entry. */
export function encodeEntry(entry: FeedEntry): Entry {
  const { key, revision } = entry;
  return create(
    EntrySchema,
    entry.value === undefined ? { key, revision } : { key, revision, value: entry.value },
  );
}

/** Decodes a feed entry. */
export function decodeEntry(entry: Entry): FeedEntry {
  return { key: entry.key, revision: entry.revision, value: entry.value };
}
