/** Events and effects of the membership protocol. */

/** What a daemon believes about another. */
export type LivenessState = 'alive' | 'suspect' | 'dead' | 'leaving';

/** One daemon as membership sees it. */
export interface MemberView {
  /** Peer address, "ip:port". */
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  /** Start time in Unix milliseconds, raised to refute a suspicion. */
  readonly incarnation: number;
  readonly state: LivenessState;
  /** Processor power of its machine, in cores of common speed; 0 if unknown. */
  readonly capacity: number;
}

/** A probe message. */
export type ProbeMessage =
  | { readonly type: 'ping'; readonly sequence: number; readonly updates: readonly MemberView[] }
  | { readonly type: 'ack'; readonly sequence: number; readonly updates: readonly MemberView[] }
  | {
      readonly type: 'ping_request';
      readonly sequence: number;
      readonly target: string;
      readonly updates: readonly MemberView[];
    };

/** All that a member knows: asked for on a stream, and answered with what the other lacks. */
export interface StateMessage {
  readonly type: 'state_request' | 'state_answer';
  readonly members: readonly MemberView[];
}

/** What membership reacts to. */
export type MembershipEvent =
  | { readonly type: 'tick' }
  | {
      readonly type: 'message';
      readonly from: string;
      readonly message: ProbeMessage | StateMessage;
    }
  /** Addresses that the platform's list names; they are probed, not believed. */
  | { readonly type: 'seeds'; readonly addresses: readonly string[] }
  | { readonly type: 'leave' };

/** What membership has done for it. */
export type MembershipEffect =
  | { readonly type: 'send'; readonly to: string; readonly message: ProbeMessage }
  /** A message that may be too large for a datagram. */
  | { readonly type: 'send_state'; readonly to: string; readonly message: StateMessage }
  /** The set of live members has changed. */
  | { readonly type: 'changed' };
