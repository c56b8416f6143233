/** `scaleslip experiment`: compares policies on a simulated day. */
import type { Command } from 'commander';

interface ExperimentFlags {
  readonly workload: string;
  readonly seed: string;
  readonly output: string;
}

/** Adds the command. */
export function addExperimentCommand(program: Command): void {
  program
    .command('experiment')
    .description('compare keep-alive and placement policies on a simulated day')
    .option('-w, --workload <names>', 'atlas, wallet, or both', 'atlas,wallet')
    .option('--seed <n>', 'seed of the workload', '1')
    .option('--output <folder>', 'folder for report.html and results.json', 'results')
    .action(async (flags: ExperimentFlags) => {
      // Loaded only here: daemons do not carry the model.
      const { runExperiment } = await import('../experiment/run-experiment.js');
      const done = runExperiment({
        workloads: flags.workload.split(','),
        seed: Number(flags.seed),
        output: flags.output,
      });
      if (!done) process.exitCode = 1;
    });
}
