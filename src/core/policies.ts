/**
 * Policies that operators can switch on or off by name, to measure the benefit of each on their own
 * load. No guarantee depends on a policy: behaviour that a guarantee needs cannot be switched off.
 * Policies that the settings do not name have the value in {@link DEFAULT_POLICIES}. Types and
 * names only.
 */

/** Names of the policies, as used in the settings. */
export const POLICY_NAMES = [
  /**
   * Concurrent loads from the weight store are limited to the learned number that it serves at full
   * speed.
   */
  'storeLoadLimit',
  /** A caller that retries after a refusal is not refused again while it can be served. */
  'keepReturningCallers',
  /** Loads are ordered by the time at which callers need their models loaded. */
  'earliestDueFirst',
  /**
   * Long loads go to backends where they delay the fewest callers of models and adapters that could
   * be loaded quickly.
   */
  'orderChannelCost',
  /** Daemons report the recent requests to a new owner. */
  'recallDemand',
  /**
   * Daemons confirm with peers that a configuration is current, so that calls to the store do not
   * grow with the number of daemons.
   */
  'proofsFromPeers',
  /** A request is held while the probability that it is served exceeds one half. */
  'holdByChance',
  /**
   * Load times are forecast for every model that callers wait for, instead of only the most urgent
   * ones.
   */
  'forecastAll',
  /**
   * A copy that relieves crowded ones counts for all callers that it takes over, and memory is
   * freed for it.
   */
  'relieveCrowdedCopies',
  /** One slot allocator per backend counts its slots over all daemons and orders the waiting requests. */
  'sharedSlots',
  /** Backend speeds are learned from streams and used to place models and requests. */
  'learnedCapacity',
  /**
   * The worth of a copy depends on the share of its callers' latency goal that a reload would take.
   */
  'copyWorthByCallers',
  /**
   * Loads are ordered by the number of callers that each serves, then by the time at which callers
   * need the model.
   */
  'mostCallersFirst',
  /**
   * Models that are stored at no backend are fetched from the weight store before the first
   * request.
   */
  'fetchAhead',
] as const;

/**
 * Names of former policies. They have no effect, but settings may still contain them for an earlier
 * build that reads the same file. `leasedLimits`: a tenant's limit is now always granted under a
 * lease. While this could be switched off, the guarantee was broken wherever a settings file did
 * not name the policy.
 */
export const RETIRED_POLICY_NAMES = ['leasedLimits'] as const;

/** Name of a policy. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Whether each policy is enabled. */
export type Policies = Readonly<Record<PolicyName, boolean>>;

/**
 * Enabled only by the settings, so that a deployment that does not name them keeps its previous
 * behaviour.
 */
const OFF_BY_DEFAULT: ReadonlySet<PolicyName> = new Set([
  'forecastAll',
  'relieveCrowdedCopies',
  'sharedSlots',
  'learnedCapacity',
  'copyWorthByCallers',
  'mostCallersFirst',
  'fetchAhead',
]);

/** Values of policies that the settings do not name. */
export const DEFAULT_POLICIES: Policies = createPolicies((name) => !OFF_BY_DEFAULT.has(name));

/** Creates a record with one value for each policy. */
export function createPolicies(value: (name: PolicyName) => boolean): Policies {
  const entries = POLICY_NAMES.map((name) => [name, value(name)] as const);
  return Object.fromEntries(entries) as Record<PolicyName, boolean>;
}
