/** Records that scaleslip itself keeps in the platform's object API. */

/** An engine registered in a pool. */
export interface RegisteredEngine {
  readonly address: string;
  /** Identifies the engine process that the owner may seal. */
  readonly incarnation: string;
}

/** Ownership of a pool. Written by compare-and-swap only. */
export interface PoolRecord {
  readonly pool: string;
  readonly zone: string;
  readonly site: string;
  /** Peer address of the owner; empty after the owner has released the pool. */
  readonly owner: string;
  /** Increases with every claim. */
  readonly epoch: number;
  /** Lets a writer whose reply was lost recognise its own write. */
  readonly writeId: string;
  /** Lowest configuration revision that an owner must have reached before it acts. */
  readonly configurationFloor: number;
  readonly engines: readonly RegisteredEngine[];
}

/** A pool's share of a tenant's replicas. */
export interface QuotaShare {
  readonly pool: string;
  /** Replicas that the pool may hold; lowered only by the pool's own owner. */
  readonly granted: number;
  /** Replicas that the pool should hold eventually. */
  readonly target: number;
}

/** How a tenant's replicas are split over pools. The grants never exceed the tenant's cap. */
export interface QuotaRecord {
  readonly tenant: string;
  readonly shares: readonly QuotaShare[];
}
