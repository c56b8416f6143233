/** Guards against begun streams that are lost while they wait for a retry in a backoff. */
import { afterEach, describe, expect, it } from 'vitest';
import { BackupScene, eventsFrom, type Run } from './backup-scene.js';
import { pause } from './gateway-harness.js';

/** Time from the failure of a stream on in which its backoffs would exceed its deadline, which comes shortly after. */
const LAST_MOMENT_MS = 1_900;
/** Time in which a stream that has failed begins its first backoff. */
const SETTLE_MS = 50;
/** Longest time until a stream is sent again once a retry is granted. */
const RETRIED_MS = 700;

describe('a begun stream in a backoff', () => {
  let scene: BackupScene;

  afterEach(() => scene.stop());

  /** The first backend breaks off a stream that it has begun, and the retry budget denies every retry. */
  async function beginBackoff(): Promise<void> {
    scene = await BackupScene.start({ route: { repeatability: 'resumable_stream' } });
    await scene.beginStream(['two']);
    scene.areRetriesDenied = true;
    scene.firstRun.breakOff();
    await scene.untilLogged('retry_backoff');
  }

  function answerNextRun(): void {
    scene.onRun = (run: Run) => run.answer();
  }

  async function expectWhole(): Promise<void> {
    const answer = await scene.answer;
    expect(answer.body).toBe(eventsFrom(1));
    expect(answer.complete).toBe(true);
    expect(await scene.problems()).toEqual([]);
  }

  it('is sent again before its deadline although retries were denied until shortly before', async () => {
    await beginBackoff();
    answerNextRun();
    await pause(LAST_MOMENT_MS);
    scene.areRetriesDenied = false;
    await expectWhole();
  });

  it('is sent again if its backends have left the list and are back', async () => {
    await beginBackoff();
    answerNextRun();
    scene.list([]);
    scene.areRetriesDenied = false;
    await pause(RETRIED_MS);
    scene.list(['two']);
    await expectWhole();
  });

  it('is sent again although its route was removed', async () => {
    await beginBackoff();
    answerNextRun();
    scene.apply({ routes: [] });
    await pause(SETTLE_MS);
    scene.areRetriesDenied = false;
    await expectWhole();
  });

  it('releases its slot, and is sent again with another one', async () => {
    scene = await BackupScene.start({
      route: { repeatability: 'resumable_stream' },
      hasSlots: true,
    });
    await scene.beginStream(['two']);
    scene.areRetriesDenied = true;
    scene.grantSlots();
    scene.firstRun.breakOff();
    await scene.untilLogged('retry_backoff');
    expect(scene.claimCount).toBe(0);
    answerNextRun();
    scene.areRetriesDenied = false;
    await expectWhole();
  });

  it('takes no retry, and is not sent, while the budget denies it', async () => {
    await beginBackoff();
    const answer = await scene.answer;
    expect(answer.complete).toBe(false);
    expect(scene.runs).toHaveLength(1);
    expect(await scene.problems()).toEqual([]);
  });

  it('is ended with all that it holds if its caller leaves', async () => {
    await beginBackoff();
    scene.caller?.destroy();
    expect(await scene.problems()).toEqual([]);
  });

  it('is ended after its last whole event if the daemon stops', async () => {
    await beginBackoff();
    for (const exchange of scene.harness.context().exchanges) exchange.interrupt();
    const answer = await scene.answer;
    expect(answer.body).toBe(eventsFrom(1, 2));
    expect(answer.complete).toBe(false);
    expect(await scene.problems()).toEqual([]);
  });

  it('is sent again by a daemon that stops, as soon as retries are granted', async () => {
    await beginBackoff();
    answerNextRun();
    const stopped = scene.harness.gateway.drain();
    await pause(RETRIED_MS);
    scene.areRetriesDenied = false;
    await expectWhole();
    await stopped;
  });

  it('is sent again if the daemon stops between the sending of its backup and the refusal', async () => {
    scene = await BackupScene.start({
      route: { repeatability: 'resumable_stream', maxAttempts: 3 },
    });
    await scene.beginStream(['two']);
    await scene.untilRuns(2);
    const stopped = scene.harness.gateway.drain();
    await scene.untilLogged('attempt_failed');
    const backup = scene.lastRun;
    answerNextRun();
    scene.list(['one', 'two', 'three']);
    await pause(SETTLE_MS);
    backup.refuse();
    await expectWhole();
    await stopped;
  });
});
