/**
 * Logs: one line of key=value pairs an event, written by winston to standard output.
 * Never a prompt or a key. The volume is bounded for each kind of event.
 */
import winston from 'winston';
import { LineBudget } from './line-budget.js';

/** Values that a log line may carry. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes events. */
export interface Logger {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

/** A logger that writes nothing, for tests. */
export const silentLogger: Logger = { info: () => {}, warn: () => {}, error: () => {} };

const NEEDS_QUOTES = /[\s"=]/;

/** Renders fields as `key=value`, quoting values with blanks, quotes or equals signs. */
export function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`)
    .join(' ');
}

function formatValue(text: string): string {
  return NEEDS_QUOTES.test(text) || text === '' ? JSON.stringify(text) : text;
}

type LogLevel = 'info' | 'warn' | 'error';

/** Bytes that may wait for the reader of standard output. */
const LARGEST_BACKLOG_BYTES = 256 * 1024;

/** Settings of a logger. */
export interface LoggerOptions {
  /** Name of the process in every line. */
  readonly daemon: string;
  /** Least severe level that is written. Default `info`. */
  readonly level?: 'info' | 'warn' | 'error';
}

/** Makes a logger that writes to standard output. */
export function createLogger(options: LoggerOptions): Logger {
  const line = winston.format.printf((entry) => {
    const { level, message, timestamp, fields } = entry;
    const head = { time: String(timestamp), level, daemon: options.daemon, event: String(message) };
    return formatFields({ ...head, ...((fields as LogFields | undefined) ?? {}) });
  });
  const sink = winston.createLogger({
    level: options.level ?? 'info',
    format: winston.format.combine(winston.format.timestamp(), line),
    transports: [new winston.transports.Console()],
  });
  const budget = new LineBudget();
  const write = (level: LogLevel, event: string, fields: LogFields = {}): void => {
    // A reader that does not keep up costs lines, not time.
    const isFull = process.stdout.writableLength > LARGEST_BACKLOG_BYTES;
    const grant = budget.take(event, performance.now(), isFull);
    if (!grant.written) return;
    const leftOut = grant.leftOut > 0 ? { leftOut: grant.leftOut } : {};
    sink.log(level, event, { fields: { ...fields, ...leftOut } });
  };
  return {
    info: (event, fields) => write('info', event, fields),
    warn: (event, fields) => write('warn', event, fields),
    error: (event, fields) => write('error', event, fields),
  };
}

/** The text of an exception, for a log line. */
export function faultText(fault: unknown): string {
  return fault instanceof Error ? (fault.stack ?? fault.message) : String(fault);
}
