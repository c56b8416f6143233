/** Splits bytes that arrive in parts into lines of text, at a cost that is linear in their number. */
import { ByteAccumulator } from './byte-accumulator.js';

const LINE_FEED = 0x0a;

/** Keeps the bytes of one incomplete line. */
export class LineReader {
  private readonly incomplete = new ByteAccumulator();

  /** Appends bytes and returns the lines that are now complete, without their ends. */
  push(part: Buffer): string[] {
    const lines: string[] = [];
    let start = 0;
    let end = part.indexOf(LINE_FEED);
    while (end >= 0) {
      this.incomplete.append(part.subarray(start, end));
      lines.push(this.incomplete.take().toString('utf8'));
      start = end + 1;
      end = part.indexOf(LINE_FEED, start);
    }
    if (start < part.length) this.incomplete.append(part.subarray(start));
    return lines;
  }
}
