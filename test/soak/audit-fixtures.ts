/** Fixtures shared by the tests of the auditor. */
import type { GatewayHistory } from './evidence.js';

/** History of gateways without any fault or stop. */
export const undisturbedHistory: GatewayHistory = {
  wasDisturbed: () => false,
  wasInterrupted: () => false,
  wasJustResumed: () => false,
  hadFault: () => false,
  pausesAtStop: () => [],
  anyHadFault: () => false,
  stopDuring: () => undefined,
};
