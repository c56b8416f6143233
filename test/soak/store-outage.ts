/** Simulates outages of the store in a soak test. */
import type { StoreCondition } from './object-store-stand-in.js';
import type { SoakSystem } from './soak-system.js';

/** Puts the store into a faulty condition for all clients for a time; returns at once if it is already faulty. */
export async function simulateStoreOutage(
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
