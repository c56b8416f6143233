/** Outages of a soak's store. */
import type { StoreCondition } from './object-store-stand-in.js';
import type { SoakSystem } from './soak-system.js';

/** The store is not sound towards anybody for a time; nothing happens if it is unsound already. */
export async function strikeStore(
  { store, storeFaults }: Pick<SoakSystem, 'store' | 'storeFaults'>,
  condition: StoreCondition,
  milliseconds: number,
): Promise<void> {
  if (store.condition !== 'sound') return;
  store.condition = condition;
  const fault = { from: Date.now(), until: Infinity };
  storeFaults.push(fault);
  await new Promise((resolve) => setTimeout(resolve, milliseconds));
  store.condition = 'sound';
  fault.until = Date.now();
}
