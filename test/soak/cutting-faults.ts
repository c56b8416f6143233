/** Tells whether a soak test may cut gateways off or make their connections silent. */
import { OPT_IN_FAULT_KINDS, type OptInFault } from './opt-in-fault-plan.js';
import type { SoakOptions } from './soak-options.js';

/** Opt-in faults that also cut gateways off. */
const CUTTING_KINDS: readonly OptInFault['kind'][] = [
  'backend_names_limit',
  'store_restored',
  'joined_during_cut',
  'version_joins_unseen',
];

/** Whether a planned fault may cut gateways off or make their connections silent. */
export function hasCuts(options: Omit<SoakOptions, 'seed' | 'folder'>): boolean {
  const { faultKinds = 'first', leaving = false, series = [], only } = options;
  const kinds = OPT_IN_FAULT_KINDS.filter((kind) => only?.includes(kind));
  const hasCuttingKind = kinds.some((kind) => CUTTING_KINDS.includes(kind));
  const hasFurther = faultKinds === 'further' || faultKinds === 'both';
  return hasFurther || leaving || hasCuttingKind || series.length > 0;
}
