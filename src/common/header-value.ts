/** What Node's HTTP client and server accept as the value of a header. They throw for any other text. */

/** Tabs, printable ASCII, and the bytes 0x80 to 0xff, which HTTP calls opaque. */
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Whether a text can be sent as the value of a header. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE.test(text);
}
