/** Parts of the prompts of a soak's requests. */

/** Number of different second parts. */
const GROUPS = 20;

/** Returns the ids of the parts of a request's prompt: one that all share, one that some share unless it is given, and its own. */
export function promptOf(number: number, second = `group-${number % GROUPS}`): string[] {
  return ['first', second, `own-${number}`];
}
