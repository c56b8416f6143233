/** Offsets added to the seed of a soak, one for each generator, so that none changes what the others draw. */

/** Offset added to the seed for the generator of further faults. */
export const FURTHER_SEED = 10_000;

/** Offset added to the seed for the generator of replica departures. */
export const LEAVING_SEED = 30_000;

/** Offset added to the seed for the generator of fault series. */
export const SERIES_SEED = 40_000;

/** Offset added to the seed for the generator of opt-in faults. */
export const NAMED_SEED = 50_000;

/** Offset added to the seed for the generators of callers that reuse connections. */
export const PERSISTENT_CALLER_SEED = 20_000;

/** Offset added to the seed for the generator of ranks and hot periods. */
export const RANK_SEED = 60_000;

/** Offset added to the seed for the generator of callers that take up streams. */
export const RESUMING_CALLER_SEED = 70_000;

/** Offset added to the seed for the generator of callers at stops. */
export const STOP_CALLER_SEED = 80_000;

/** Offset added to the seed for the generator of callers that hold streams. */
export const STREAM_HOLDER_SEED = 90_000;

/** Offset added to the seed for the generator of callers that name no attempt. */
export const UNNAMED_CALLER_SEED = 110_000;
