/**
 * Loaded before a program under test (`node --import`): writes to standard error how many bytes of source have
 * been compiled when the program first handles each signal.
 */
import { Buffer } from 'node:buffer';
import Module from 'node:module';

const signals = new Set(['SIGHUP', 'SIGTERM']);
const compile = Module.prototype._compile;
let bytes = 0;

Module.prototype._compile = function countBytes(content, ...rest) {
  bytes += Buffer.byteLength(content);
  return compile.call(this, content, ...rest);
};
process.on('newListener', (event) => {
  if (signals.delete(event)) process.stderr.write(`handles=${event} bytes=${bytes}\n`);
});
