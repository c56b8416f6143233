/**
 * Runs a gateway of a soak: `node gateway-entry.cjs FILE...` loads the files in order; the last one is the entry of the program.
 * Installs the signal handlers as early after the start of the process as that entry alone does (`platform/main.ts`).
 */
const path = require('node:path');

process.on('SIGHUP', () => {});
process.on('SIGTERM', () => {});
process.on('SIGINT', () => {});

for (const file of process.argv.slice(2)) require(path.resolve(file));
