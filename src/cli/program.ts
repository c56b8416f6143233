/** The program of the `scaleslip` command line: parses the arguments and runs the command; loaded by `main.ts`. */
import { Command } from 'commander';
import { addDaemonCommand } from './daemon-command.js';
import { addLossesCommand } from './losses-command.js';
import { addOperatorCommands } from './operator-commands.js';

const program = new Command('scaleslip')
  .description('serves language models that are rarely called')
  .version('0.1.0')
  .showHelpAfterError();

addDaemonCommand(program);
addOperatorCommands(program);
addLossesCommand(program);
await program.parseAsync();
