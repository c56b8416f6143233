/** The answer of a replica that has not run a request. */
import type http from 'node:http';
import { sendJson } from '../../src/common/http-server.js';

/** Refuses a request as not run. */
export function refuse(
  response: http.ServerResponse,
  status: number,
  headers: Record<string, string> = {},
): void {
  sendJson(response, status, {}, { 'x-not-executed': '1', ...headers });
}
