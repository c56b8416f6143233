/** Records that scaleslip itself keeps in the platform's object API. */

/** An engine that belongs to a pool. */
export interface RegisteredEngine {
  readonly address: string;
  /** The start of the engine process that may be sealed. */
  readonly incarnation: string;
}

/** Who owns a pool. Changed by compare-and-swap only. */
export interface PoolRecord {
  readonly pool: string;
  readonly zone: string;
  readonly site: string;
  /** Peer address of the owner; empty after a hand-over. */
  readonly owner: string;
  /** Rises with every claim. */
  readonly epoch: number;
  /** Tells the writer's own write from another's when a reply was lost. */
  readonly writeId: string;
  /** Least revision of the configuration that an owner must have reached before it acts. */
  readonly configurationFloor: number;
  readonly engines: readonly RegisteredEngine[];
}

/** A pool's part of a tenant's replicas. */
export interface QuotaShare {
  readonly pool: string;
  /** Replicas that the pool may hold; lowered only by the pool's own owner. */
  readonly granted: number;
  /** Replicas that the pool is to hold in the end. */
  readonly target: number;
}

/** How a tenant's replicas are split over pools. The grants never exceed the tenant's cap. */
export interface QuotaRecord {
  readonly tenant: string;
  readonly shares: readonly QuotaShare[];
}
