/** What Node's HTTP client and server accept as the value of a header. They throw for any other text. */

/** Tabs, printable ASCII, and the bytes 0x80 to 0xff, which HTTP calls opaque. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Whether a text can be sent as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}

/** Returns the header value whose bytes are a text in UTF-8: Node writes each character of a header as one byte. */
export function utf8HeaderValue(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

/** Whether a text has no unpaired surrogates, which UTF-8 cannot hold. */
export function isWellFormed(text: string): boolean {
  return Buffer.from(text, 'utf8').toString('utf8') === text;
}
