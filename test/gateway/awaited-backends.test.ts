/** Guards against streams that are lost while a gateway waits for the first backend beside a backup that its backend has read. */
import { afterEach, describe, expect, it } from 'vitest';
import { BackupScene, eventsFrom, type Run } from './backup-scene.js';
import { pause } from './gateway-harness.js';

/** Time from the first reply of an awaited backend on in which its attempt would be given up. */
const GIVEN_UP_MS = 400;
/** Time that a backend which runs takes to reply to a liveness check: longer than a backup then needs to count as accepted. */
const SLOW_REPLY_MS = 250;
/** Time in which both attempts must have come down to one. */
const DECIDED_MS = 900;

describe('a stream whose first backend is awaited', () => {
  let scene: BackupScene;

  afterEach(() => scene.stop());

  /** The first backend has begun a stream and does not run; the backup's backend has replied and kept the request. */
  async function awaitFirst(): Promise<void> {
    scene = await BackupScene.start({ route: { repeatability: 'resumable_stream' } });
    await scene.beginStream(['two']);
    scene.stopProcess('one');
    await scene.untilLogged('silent_backend_awaited');
    scene.areRetriesDenied = true;
  }

  async function expectWhole(): Promise<void> {
    const answer = await scene.answer;
    expect(answer.body).toBe(eventsFrom(1));
    expect(answer.complete).toBe(true);
    expect(await scene.problems()).toEqual([]);
    expect(scene.simultaneousRuns()).toEqual([]);
  }

  it('gets the rest from it if the backend of its backup falls silent and refuses late', async () => {
    await awaitFirst();
    scene.stopProcess('two');
    scene.resumeProcess('one');
    await pause(GIVEN_UP_MS);
    scene.lastRun.refuse();
    scene.firstRun.answer();
    await expectWhole();
  });

  it('gets the rest from its backup if it replies while that works on it', async () => {
    await awaitFirst();
    scene.resumeProcess('one');
    await pause(GIVEN_UP_MS);
    scene.lastRun.answer();
    await expectWhole();
  });

  it('gets the rest from it if its backup is refused before it replies', async () => {
    await awaitFirst();
    scene.lastRun.refuse();
    await pause(GIVEN_UP_MS);
    scene.firstRun.answer();
    await expectWhole();
  });

  it('is ended with all that it holds if the daemon stops meanwhile', async () => {
    await awaitFirst();
    for (const exchange of scene.harness.context().exchanges) exchange.interrupt();
    const answer = await scene.answer;
    expect(answer.complete).toBe(false);
    expect(answer.body).toBe(eventsFrom(1, 2));
    expect(await scene.problems()).toEqual([]);
  });

  it('is sent to a third backend if the backend of its backup falls silent as well', async () => {
    scene = await BackupScene.start({
      route: { repeatability: 'resumable_stream', maxAttempts: 3 },
    });
    await scene.beginStream(['two']);
    scene.stopProcess('one');
    await scene.untilLogged('silent_backend_awaited');
    scene.stopProcess('two');
    scene.onRun = (run: Run) => run.answer();
    scene.list(['one', 'two', 'three']);
    await expectWhole();
  });

  it('is not worked on by two backends for long if the second replies slowly', async () => {
    await awaitFirst();
    const { control } = scene.harness.context();
    const responds = control.responds.bind(control);
    control.responds = async (backend) => {
      if (backend.id === 'two') await pause(SLOW_REPLY_MS);
      return responds(backend);
    };
    scene.resumeProcess('one');
    await pause(DECIDED_MS);
    scene.lastRun.answer();
    await expectWhole();
  });
});
