/**
 * Communicating sequential processes on top of js-csp.
 *
 * An exception inside a js-csp process terminates the whole program, so the
 * functions here catch it, pass it to the fault handler and continue with the
 * next message.
 */
import csp, { type Channel } from 'js-csp';

/** Default number of messages that a mailbox holds before it rejects more. */
const DEFAULT_MAILBOX_CAPACITY = 4096;

/** Called with an exception thrown by a message handler or a periodic action. */
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
  /** The underlying js-csp channel. */
  readonly channel: Channel;

  constructor(capacity: number = DEFAULT_MAILBOX_CAPACITY) {
    this.channel = csp.chan(csp.buffers.fixed(capacity));
  }

  /** Adds a message; false when the mailbox is full or closed. */
  offer(message: Message): boolean {
    if (this.channel.isClosed()) return false;
    return csp.offer(this.channel, message);
  }

  /** Closes the mailbox; the consumer ends after it has handled the queued messages. */
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
      runGuarded(() => handle(message as Message), onFault);
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
      yield csp.take(closeWhenSettled(handle(message as Message), onFault));
    }
  });
}

/** A running periodic process. */
export interface Ticker {
  /** Stops the process; the action is not called again. */
  stop(): void;
}

/**
 * Calls `action` each `periodMs` milliseconds until stopped. The action runs after the sockets were read, because js-csp schedules
 * its processes as immediates: after a pause of this process, it may judge others by what has not come.
 */
export function startTicker(periodMs: number, action: () => void, onFault: FaultHandler): Ticker {
  const stopped = csp.chan();
  csp.go(function* tick() {
    for (;;) {
      yield csp.alts([stopped, csp.timeout(periodMs)], { priority: true });
      if (stopped.isClosed()) return;
      runGuarded(action, onFault);
    }
  });
  return {
    stop: () => {
      if (!stopped.isClosed()) stopped.close();
    },
  };
}

/** Resolves after `milliseconds`. */
export function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Resolves once what has arrived by now was read: expired timers run before the sockets are read, immediates after. */
export function inputRead(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function runGuarded(action: () => void, onFault: FaultHandler): void {
  try {
    action();
  } catch (fault) {
    onFault(fault);
  }
}

function closeWhenSettled(promise: Promise<void>, onFault: FaultHandler): Channel {
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
