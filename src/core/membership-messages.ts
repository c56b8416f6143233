/** Events and effects of the membership protocol. */

/** State of a daemon in the view of another daemon. */
export type LivenessState = 'alive' | 'suspect' | 'dead' | 'leaving';

/** A daemon in the view of the membership protocol. */
export interface MemberView {
  /** Peer address, "ip:port". */
  readonly address: string;
  readonly zone: string;
  readonly site: string;
  /** Start time in Unix milliseconds, increased to refute a suspicion. */
  readonly incarnation: number;
  readonly state: LivenessState;
  /** Processor capacity of the machine, in cores of a common reference speed; 0 if unknown. */
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

/** Exchange of state over a stream: a request holds all members that the sender knows, an answer those that the requester lacks. */
export interface StateMessage {
  readonly type: 'state_request' | 'state_answer';
  readonly members: readonly MemberView[];
}

/** Input of the membership protocol. */
export type MembershipEvent =
  | { readonly type: 'tick' }
  | {
      readonly type: 'message';
      readonly from: string;
      readonly message: ProbeMessage | StateMessage;
    }
  /** Addresses from the platform's list. They are probed before they count as members. */
  | { readonly type: 'seeds'; readonly addresses: readonly string[] }
  | { readonly type: 'leave' };

/** Output of the membership protocol, for the caller to carry out. */
export type MembershipEffect =
  | { readonly type: 'send'; readonly to: string; readonly message: ProbeMessage }
  /** A message that may be too large for a datagram. */
  | { readonly type: 'send_state'; readonly to: string; readonly message: StateMessage }
  /** The set of live members has changed. */
  | { readonly type: 'changed' };
