/** Parses the gateway's log lines, one line of key=value pairs per event. Performs no I/O. */

/** One parsed log line. */
export interface LogEvent {
  /** Event name. */
  readonly event: string;
  /** Time of the event in Unix milliseconds, by the daemon's wall clock. */
  readonly at: number;
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR_PATTERN = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** Parses a line; undefined if it has no event name or valid time. Text before the first pair is ignored. */
export function parseLogLine(line: string): LogEvent | undefined {
  const fields = new Map<string, string>();
  for (const [, key = '', value = ''] of line.matchAll(PAIR_PATTERN)) {
    if (!fields.has(key)) fields.set(key, unquote(value));
  }
  const event = fields.get('event');
  const at = Date.parse(fields.get('time') ?? '');
  if (event === undefined || Number.isNaN(at)) return undefined;
  return { event, at, fields };
}

/** A field as a number; undefined if it is missing or not a number. */
export function numberField(event: LogEvent, key: string): number | undefined {
  const value = Number(event.fields.get(key) ?? Number.NaN);
  return Number.isNaN(value) ? undefined : value;
}

function unquote(value: string): string {
  return value.startsWith('"') ? value.slice(1, -1).replaceAll('\\"', '"') : value;
}
