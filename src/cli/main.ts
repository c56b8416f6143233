/**
 * Entry point of the `scaleslip` command line, also for programs that start it without `bin/scaleslip.js`. For a daemon, handles
 * SIGHUP and then loads the program: all modules of a program are loaded before its first statement runs, and until then SIGHUP
 * ends the process by default. A signal that arrives meanwhile needs no other action, because the daemon reads its settings
 * afterwards. SIGTERM and SIGINT keep their default here: the daemon has not opened a port yet. Other commands keep all defaults, so
 * that a closed terminal ends them.
 */
if (process.argv[2] === 'daemon') process.on('SIGHUP', () => {});

await import('./program.js');
