/**
 * Decides whether the head of a backend's answer is one that HTTP allows. All answers to callers' requests pass
 * through here, direct and relayed, before anything is learned from them or forwarded. Node's parser accepts any
 * three digits as a status, but its server writes none below 100.
 */
import type http from 'node:http';

/** Final responses have a status of 200 to 599 (RFC 9110, section 15); 1xx precede a final response. */
const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

/** Returns why the head of an answer is invalid; undefined if it is valid. */
export function invalidHeadReason({
  statusCode,
}: Pick<http.IncomingMessage, 'statusCode'>): string | undefined {
  const status = statusCode ?? 0;
  const isFinal = status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
  return isFinal ? undefined : `the answer has the invalid status ${status}`;
}
