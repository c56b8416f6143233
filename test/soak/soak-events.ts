/** Events and faults that a soak writes to its log. */
import type { Fault } from './fault-plan.js';
import type { FurtherFault } from './further-fault-plan.js';
import type { LeavingFault } from './leaving-fault-plan.js';
import type { OptInFault } from './opt-in-fault-plan.js';
import type { SentSignal } from './process-signals.js';
import type { SeriesFault } from './series-fault-plan.js';

/** A logged event that is not a fault. */
export type SoakEvent =
  | { readonly kind: 'configuration_accepted'; readonly version: number }
  | { readonly kind: 'gateway_joined'; readonly gateway: string }
  | ({ readonly kind: 'signal_sent' } & SentSignal);

/** A planned fault of any group. */
export type SoakFault = Fault | FurtherFault | LeavingFault | OptInFault | SeriesFault;
