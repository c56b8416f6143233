/** Interface of the load-balancing policies, which choose a loaded replica for a request. */

/** A replica as one router sees it. */
export interface ReplicaView {
  readonly pool: string;
  readonly engine: string;
  readonly incarnation: string;
  /** Maximum requests that this router may have in flight on the replica. */
  readonly share: number;
  /** Requests that this router has in flight on it. */
  readonly inFlight: number;
  /** Load that the engine last reported, 0 to 1; decays with the age of the report. */
  readonly reportedLoad: number;
}

/** Chooses a replica for a request. */
export interface ReplicaChoice {
  /** Returns a replica with free capacity; undefined if there is none. */
  choose(replicas: readonly ReplicaView[]): ReplicaView | undefined;
}
