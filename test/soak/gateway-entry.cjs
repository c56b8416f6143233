/**
 * Runs a gateway of a soak: `node gateway-entry.cjs FILE...` loads the files in their order, the last of which is the program's own
 * entry. Its handlers stand as soon after the start of the process as those of that entry alone (`platform/main.ts`).
 */
const path = require('node:path');

process.on('SIGHUP', () => {});
process.on('SIGTERM', () => {});

for (const file of process.argv.slice(2)) require(path.resolve(file));
