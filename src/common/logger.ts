/**
 * Logger: writes one line of key=value pairs per event to standard output, through winston.
 * Prompts and keys are never logged. The rate of lines is limited for each event name.
 */
import winston from 'winston';
import { LogRateLimiter } from './log-rate-limiter.js';

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

const QUOTED_CHARACTERS = /[\s"=]/;

/** Renders fields as `key=value`; quotes empty values and values with whitespace, quotes or equals signs. */
export function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${formatValue(String(value))}`)
    .join(' ');
}

function formatValue(text: string): string {
  return QUOTED_CHARACTERS.test(text) || text === '' ? JSON.stringify(text) : text;
}

type LogLevel = 'info' | 'warn' | 'error';

/** Maximum unread bytes in standard output before lines are dropped. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Settings of a logger. */
export interface LoggerOptions {
  /** Name of the daemon, written in every line. */
  readonly daemon: string;
  /** Least severe level that is written. Default `info`. */
  readonly level?: 'info' | 'warn' | 'error';
}

/** Drops a line that standard output did not take, because the program that reads the log has ended. */
function dropLine(): void {}

/** Without a handler, a failed write to standard output is an uncaught exception, which ends the process. */
function handleOutputErrors(): void {
  if (!process.stdout.listeners('error').includes(dropLine)) process.stdout.on('error', dropLine);
}

/** Creates a logger that writes to standard output. Lines that cannot be written are dropped. */
export function createLogger(options: LoggerOptions): Logger {
  handleOutputErrors();
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
  const lineLimiter = new LogRateLimiter();
  const write = (level: LogLevel, event: string, fields: LogFields = {}): void => {
    // If the reader of standard output is too slow, lines are dropped instead of delaying the process.
    const isFull = process.stdout.writableLength > MAX_BACKLOG_BYTES;
    const decision = lineLimiter.take(event, performance.now(), isFull);
    if (!decision.written) return;
    const leftOut = decision.leftOut > 0 ? { leftOut: decision.leftOut } : {};
    sink.log(level, event, { fields: { ...fields, ...leftOut } });
  };
  return {
    info: (event, fields) => write('info', event, fields),
    warn: (event, fields) => write('warn', event, fields),
    error: (event, fields) => write('error', event, fields),
  };
}

/** The stack or message of an exception, for a log line. */
export function faultText(fault: unknown): string {
  return fault instanceof Error ? (fault.stack ?? fault.message) : String(fault);
}
