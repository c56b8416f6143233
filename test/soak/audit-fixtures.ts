/** What the auditor's tests share. */
import type { GatewayHistory } from './evidence.js';

/** Gateways to which nothing was done. */
export const untouched: GatewayHistory = {
  wasDisturbed: () => false,
  wasInterrupted: () => false,
  wasJustFreed: () => false,
  wasHarmed: () => false,
  stopDuring: () => undefined,
};
