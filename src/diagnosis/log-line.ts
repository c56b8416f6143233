/** Reads the gateway's log lines: one line of key=value pairs for each event. Pure. */

/** One event of a log. */
export interface LogEvent {
  /** What happened. */
  readonly event: string;
  /** Milliseconds of the daemon's time of day. */
  readonly at: number;
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;

/** The event of a line; undefined for a line that is none. Text before the first pair is ignored. */
export function parseLogLine(line: string): LogEvent | undefined {
  const fields = new Map<string, string>();
  for (const [, key = '', value = ''] of line.matchAll(PAIR)) {
    if (!fields.has(key)) fields.set(key, unquoted(value));
  }
  const event = fields.get('event');
  const at = Date.parse(fields.get('time') ?? '');
  if (event === undefined || Number.isNaN(at)) return undefined;
  return { event, at, fields };
}

/** A field as a number; undefined if it is missing or none. */
export function numberField(event: LogEvent, key: string): number | undefined {
  const value = Number(event.fields.get(key) ?? Number.NaN);
  return Number.isNaN(value) ? undefined : value;
}

function unquoted(value: string): string {
  return value.startsWith('"') ? value.slice(1, -1).replaceAll('\\"', '"') : value;
}
