/** Shares one call among all that wait for its result, where a result counts only if its call began after it was asked for. */

/** Returns a function that makes at most one call at a time. While one is under way, all further ones share the next. */
export function shareCalls<T>(call: () => Promise<T>): () => Promise<T> {
  let running: Promise<T> | undefined;
  let next: Promise<T> | undefined;
  const start = (): Promise<T> => {
    next = undefined;
    const started = call().finally(() => {
      if (running === started) running = undefined;
    });
    running = started;
    return started;
  };
  return () => {
    if (running === undefined) return start();
    next ??= running.then(start, start);
    return next;
  };
}
