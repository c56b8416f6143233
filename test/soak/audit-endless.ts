/** Finds answers without an end that gateways went on reading, and gateways that took more memory than they may. Pure. */
import type { SoakEvidence, Violation } from './evidence.js';

/** Memory of a machine, as the gateways' settings have it. */
export const MACHINE_MEGABYTES = 350;
const MEGABYTE = 1024 * 1024;
/** Largest answer that a gateway keeps: a 32nd of the machine's memory (docs/GUARANTEES.md). */
const MAX_ANSWER_BYTES = (MACHINE_MEGABYTES * MEGABYTE) / 32;
/** What the kernels and Node may hold of a connection, twice for one that is relayed. */
const CONNECTION_BYTES = 24 * MEGABYTE;

/** Returns the violations of bounds. */
export function auditEndless({ endlessAnswers, mostMemory }: SoakEvidence): Violation[] {
  const unbounded = endlessAnswers
    .filter(({ sentBytes }) => sentBytes > MAX_ANSWER_BYTES + CONNECTION_BYTES)
    .map(({ kind, sentBytes }) => ({
      rule: 'answer_unbounded',
      detail: `${sentBytes} bytes of an answer without an end were read (${kind})`,
    }));
  const exceeded = mostMemory
    .filter(({ megabytes }) => megabytes > MACHINE_MEGABYTES)
    .map(({ name, megabytes }) => ({
      rule: 'memory_exceeded',
      detail: `${name} took ${megabytes} of ${MACHINE_MEGABYTES} MB`,
    }));
  return [...unbounded, ...exceeded];
}
