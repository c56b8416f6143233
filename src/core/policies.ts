/**
 * Policies that operators can switch off by name, so that the worth of each can be
 * measured on their own load. None of them keeps a promise: what does is no policy. Those that
 * settings do not name are as in {@link DEFAULT_POLICIES}. Types and names only.
 */

/** Names of the policies, as the settings spell them. */
export const POLICY_NAMES = [
  /** Loads from the weight store at once are limited to what it carries at full speed, learned. */
  'storeLoadLimit',
  /** A caller that comes back after a refusal is not refused again while it can be served. */
  'keepReturningCallers',
  /** Loads go by the time at which callers should find their models. */
  'earliestDueFirst',
  /** Long loads go where they keep the fewest callers from copies at hand. */
  'orderChannelCost',
  /** A new owner is told of the requests of some time before. */
  'recallDemand',
  /** A configuration is proved current by peers, so that the store's calls do not grow with the daemons. */
  'proofsFromPeers',
  /** A request is held while it will more likely be served than not. */
  'holdByChance',
  /** Callers are told when each model that they wait for is expected, not the most urgent ones only. */
  'forecastAll',
  /** A copy that relieves full ones counts for all the callers that it takes over, and gets the room made for it. */
  'relieveCrowdedCopies',
  /** Slots of backends are counted over all daemons by one keeper each, which orders those that wait. */
  'sharedSlots',
  /** Speeds of backends are learned from streams; models and requests go by them. */
  'learnedCapacity',
  /** A copy is worth what a load would take of the time that its callers can wait. */
  'copyWorthByCallers',
  /** Loads go by how many callers each serves, then by the time at which they should find it. */
  'mostCallersFirst',
  /** Models that lie at no backend are fetched from the weight store before callers come. */
  'fetchAhead',
] as const;

/**
 * Names that were policies. Settings may still hold them, for an earlier build that reads the same file; they
 * change nothing. `leasedLimits`: a tenant's limit is granted under a lease wherever a tenant has a limit. A
 * promise that can be switched off was broken wherever a settings file did not name it.
 */
export const RETIRED_POLICY_NAMES = ['leasedLimits'] as const;

/** A policy's name. */
export type PolicyName = (typeof POLICY_NAMES)[number];

/** Which policies are on. */
export type Policies = Readonly<Record<PolicyName, boolean>>;

/** On only where the settings say so: a deployment that does not name them is served as it was without them. */
const OFF_UNLESS_NAMED: ReadonlySet<PolicyName> = new Set([
  'forecastAll',
  'relieveCrowdedCopies',
  'sharedSlots',
  'learnedCapacity',
  'copyWorthByCallers',
  'mostCallersFirst',
  'fetchAhead',
]);

/** What holds if the settings say nothing. */
export const DEFAULT_POLICIES: Policies = policiesOf((name) => !OFF_UNLESS_NAMED.has(name));

/** One value for each policy. */
export function policiesOf(value: (name: PolicyName) => boolean): Policies {
  const entries = POLICY_NAMES.map((name) => [name, value(name)] as const);
  return Object.fromEntries(entries) as Record<PolicyName, boolean>;
}
