#!/usr/bin/env node
/**
 * The command line. CommonJS, so that a daemon handles SIGHUP as early as a program can: Node loads the first ES module later than
 * a CommonJS file, and links it with all its imports before its first line runs.
 */
if (process.argv[2] === 'daemon') process.on('SIGHUP', () => {});

void import('../dist/cli/main.js');
