/**
 * Communicating processes on top of js-csp.
 *
 * An exception inside a js-csp process ends the whole program, so every body
 * started here is guarded: a fault goes to the given handler and the process
 * takes its next message.
 */
import csp, { type Channel } from 'js-csp';

/** Messages that a mailbox holds before it refuses more. */
const DEFAULT_MAILBOX_CAPACITY = 4096;

/** What a guarded process calls with an exception that its body threw. */
export type FaultHandler = (fault: unknown) => void;

/**
 * A bounded queue of messages for one process.
 *
 * @example
 * const inbox = new Mailbox<string>();
 * startConsumer(inbox, (text) => console.log(text), console.error);
 * inbox.offer('hello');
 */
export class Mailbox<Message> {
  /** The js-csp channel underneath. */
  readonly channel: Channel;

  constructor(capacity: number = DEFAULT_MAILBOX_CAPACITY) {
    this.channel = csp.chan(csp.buffers.fixed(capacity));
  }

  /** Adds a message; false when the mailbox is full or closed. */
  offer(message: Message): boolean {
    if (this.channel.isClosed()) return false;
    return csp.offer(this.channel, message);
  }

  /** Ends the consumer once it has taken what is already queued. */
  close(): void {
    if (!this.channel.isClosed()) this.channel.close();
  }
}

/** Starts a process that handles the messages of a mailbox one at a time. */
export function startConsumer<Message>(
  mailbox: Mailbox<Message>,
  handle: (message: Message) => void,
  onFault: FaultHandler,
): void {
  csp.go(function* consume() {
    for (;;) {
      const message = yield csp.take(mailbox.channel);
      if (message === csp.CLOSED) return;
      guarded(() => handle(message as Message), onFault);
    }
  });
}

/**
 * Starts a process that handles messages one at a time and waits for the
 * promise of each before it takes the next.
 */
export function startSerialWorker<Message>(
  mailbox: Mailbox<Message>,
  handle: (message: Message) => Promise<void>,
  onFault: FaultHandler,
): void {
  csp.go(function* work() {
    for (;;) {
      const message = yield csp.take(mailbox.channel);
      if (message === csp.CLOSED) return;
      yield csp.take(settled(handle(message as Message), onFault));
    }
  });
}

/** A running periodic process. */
export interface Ticker {
  /** Ends the process; no further call is made. */
  stop(): void;
}

/** Calls `action` each `periodMs` milliseconds until stopped. */
export function startTicker(periodMs: number, action: () => void, onFault: FaultHandler): Ticker {
  const stopped = csp.chan();
  csp.go(function* tick() {
    for (;;) {
      yield csp.alts([stopped, csp.timeout(periodMs)], { priority: true });
      if (stopped.isClosed()) return;
      guarded(action, onFault);
    }
  });
  return {
    stop: () => {
      if (!stopped.isClosed()) stopped.close();
    },
  };
}

/** Resolves after `milliseconds`, without keeping a drained program alive. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function guarded(action: () => void, onFault: FaultHandler): void {
  try {
    action();
  } catch (fault) {
    onFault(fault);
  }
}

function settled(promise: Promise<void>, onFault: FaultHandler): Channel {
  const done = csp.chan(1);
  promise.then(
    () => done.close(),
    (fault: unknown) => {
      onFault(fault);
      done.close();
    },
  );
  return done;
}
