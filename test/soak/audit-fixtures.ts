/** Fixtures shared by the tests of the auditor. */
import type { GatewayHistory } from './evidence.js';

/** History of gateways without any fault or stop. */
export const untouched: GatewayHistory = {
  wasDisturbed: () => false,
  wasInterrupted: () => false,
  wasJustFreed: () => false,
  wasHarmed: () => false,
  stopDuring: () => undefined,
};
