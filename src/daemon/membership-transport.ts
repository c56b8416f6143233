/** Sends the messages of the membership protocol: probes as UDP datagrams, full states over TCP. */
import type { MembershipEffect } from '../core/membership-messages.js';
import { encodeProbe, encodeState } from './codec.js';
import type { PeerTransport } from './peer-transport.js';

/** Sends the messages among the effects. Returns true if the set of live members has changed. */
export function performMembershipEffects(
  effects: readonly MembershipEffect[],
  transport: PeerTransport,
): boolean {
  let changed = false;
  for (const effect of effects) {
    if (effect.type === 'changed') changed = true;
    if (effect.type === 'send') transport.sendDatagram(effect.to, encodeProbe(effect.message));
    if (effect.type === 'send_state') transport.send(effect.to, encodeState(effect.message));
  }
  return changed;
}
