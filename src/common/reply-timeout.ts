/**
 * Timeouts for what others should send. After a pause of this process, expired timers run before the sockets are read, so a reply that
 * came in time may not have been read yet. The decision that it is missing therefore waits until the sockets were read.
 */

/**
 * Turns of the event loop in which a socket's whole backlog of datagrams is read: Node reads 32 of them in each, and the kernel's
 * default receive buffer holds fewer than 300.
 */
const READ_TURNS = 10;

/** A timeout that is running. */
export interface ReplyTimeout {
  /** Ends the timeout; its action is not called any more. */
  cancel(): void;
}

/** Calls an action after some milliseconds, once what has arrived by then was read, unless the timeout is cancelled. */
export function startReplyTimeout(milliseconds: number, onMissing: () => void): ReplyTimeout {
  let verdict: NodeJS.Immediate | undefined;
  const decide = (turnsLeft: number): void => {
    // Immediates run after the sockets were read.
    verdict = setImmediate(turnsLeft > 1 ? () => decide(turnsLeft - 1) : onMissing);
  };
  const timer = setTimeout(() => decide(READ_TURNS), milliseconds);
  return {
    cancel: () => {
      clearTimeout(timer);
      clearImmediate(verdict);
    },
  };
}
