/** Which loaded replica takes a request: the interface of load-balancing policies. */

/** A replica as one router sees it. */
export interface ReplicaView {
  readonly pool: string;
  readonly engine: string;
  readonly incarnation: string;
  /** Requests that this router may keep in flight on the replica. */
  readonly share: number;
  /** Requests that this router has in flight on it. */
  readonly inFlight: number;
  /** Load that the engine last reported, 0 to 1; decays with age. */
  readonly reportedLoad: number;
}

/** Chooses a replica. */
export interface ReplicaChoice {
  /** A replica with room, or undefined. */
  choose(replicas: readonly ReplicaView[]): ReplicaView | undefined;
}
