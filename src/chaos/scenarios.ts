/** The failure scenarios that `npm run chaos` runs. */
import { sleep } from '../common/process.js';
import type { ClusterDaemon, LocalCluster } from '../testbed/local-cluster.js';
import type { ChaosContext, Scenario } from './chaos-run.js';

/** Milliseconds from the start of the load to the fault, so that models are still loading. */
const FAULT_DELAY_MS = 700;
/** Milliseconds for which an owner is paused; long enough for another daemon to take over. */
const OWNER_PAUSE_MS = 4_000;

function othersThan(context: ChaosContext, daemon: ClusterDaemon): ClusterDaemon[] {
  return context.cluster.daemons.filter((other) => other !== daemon);
}

function nonOwner(context: ChaosContext, owner: ClusterDaemon): ClusterDaemon {
  const other = othersThan(context, owner).find((daemon) => daemon.zone === owner.zone);
  if (other === undefined) throw new Error('each zone has two daemons');
  return other;
}

function engineIn(cluster: LocalCluster, zone: string): LocalCluster['engines'][number] {
  const engine = cluster.engines.find((candidate) => candidate.zone === zone);
  if (engine === undefined) throw new Error(`zone ${zone} has no engine`);
  return engine;
}

async function killOwner(context: ChaosContext, zone: string): Promise<void> {
  const owner = await context.ownerOf(zone);
  await sleep(FAULT_DELAY_MS);
  context.recordOwnerLoss(zone);
  await context.killDaemon(owner);
  const others = othersThan(context, owner);
  await context.applyChange(others[0], others);
}

async function pauseOwner(context: ChaosContext): Promise<void> {
  const owner = await context.ownerOf('a');
  await sleep(FAULT_DELAY_MS);
  context.recordOwnerLoss('a');
  owner.process.signal('SIGSTOP');
  const others = othersThan(context, owner);
  await context.applyChange(others[0], others);
  await sleep(OWNER_PAUSE_MS);
  owner.process.signal('SIGCONT');
  await sleep(FAULT_DELAY_MS);
  await context.applyChange();
}

async function killRouter(context: ChaosContext): Promise<void> {
  const router = nonOwner(context, await context.ownerOf('b'));
  await sleep(FAULT_DELAY_MS * 2);
  await context.killDaemon(router);
  const others = othersThan(context, router);
  await context.applyChange(others[0], others);
  await context.startDaemon(router);
  await context.applyChange();
}

async function restartEngines(context: ChaosContext): Promise<void> {
  for (const zone of ['a', 'b']) {
    await sleep(FAULT_DELAY_MS);
    const engine = engineIn(context.cluster, zone);
    await engine.process.kill();
    await sleep(FAULT_DELAY_MS / 2);
    context.cluster.restartEngine(engine);
  }
  await context.applyChange();
}

async function cutOwnerFromEngine(context: ChaosContext): Promise<void> {
  const owner = await context.ownerOf('a');
  const engine = engineIn(context.cluster, 'a');
  await sleep(FAULT_DELAY_MS);
  await context.cluster.setLinkFaults(owner, [engine.address], []);
  await sleep(3_000);
  await context.cluster.setLinkFaults(owner, [], [engine.address]);
  await sleep(2_000);
  await context.cluster.setLinkFaults(owner, [], []);
  await context.applyChange();
}

async function cutDaemonFromPeers(context: ChaosContext): Promise<void> {
  const owner = await context.ownerOf('b');
  const others = othersThan(context, owner);
  const peers = others.map((daemon) => daemon.peers);
  await sleep(FAULT_DELAY_MS);
  context.recordOwnerLoss('b');
  await context.cluster.setLinkFaults(owner, peers, peers);
  await context.applyChange(others[0], others);
  await sleep(3_500);
  await context.cluster.setLinkFaults(owner, [], []);
  await sleep(2_500);
  await context.applyChange();
}

async function platformDown(context: ChaosContext): Promise<void> {
  await sleep(FAULT_DELAY_MS);
  await context.cluster.setPlatformFaults({ down: true });
  await context.applyChange();
  await sleep(5_000);
  await context.cluster.setPlatformFaults({ down: false });
  await sleep(3_500);
  await context.applyChange();
}

async function platformSlow(context: ChaosContext): Promise<void> {
  await context.cluster.setPlatformFaults({ delayMs: 800 });
  await killOwner(context, 'a');
  await sleep(2_000);
  await context.cluster.setPlatformFaults({ delayMs: 0 });
}

async function platformLosesReplies(context: ChaosContext): Promise<void> {
  await context.cluster.setPlatformFaults({ loseReplies: 3 });
  await killOwner(context, 'a');
  await context.cluster.setPlatformFaults({ loseReplies: 2 });
  await context.applyChange(othersThan(context, await context.ownerOf('c'))[0]).catch(() => false);
  await sleep(1_000);
  await context.cluster.setPlatformFaults({ loseReplies: 0 });
}

async function weightStoreStalled(context: ChaosContext): Promise<void> {
  await sleep(FAULT_DELAY_MS);
  await context.cluster.setWeightStoreStalled(true);
  await sleep(4_000);
  await context.cluster.setWeightStoreStalled(false);
  await context.applyChange();
}

async function machineReclaimed(context: ChaosContext): Promise<void> {
  const engine = engineIn(context.cluster, 'a');
  const markedLeaving = engineIn(context.cluster, 'b');
  await sleep(FAULT_DELAY_MS);
  await context.cluster.announceLeaving(engine);
  await context.cluster.setMachineStates([], [markedLeaving.address]);
  await sleep(2_500);
  await engine.process.kill();
  await context.cluster.setMachineStates([engine.address], [markedLeaving.address]);
  await context.applyChange();
}

async function operatorsRace(context: ChaosContext): Promise<void> {
  for (let round = 0; round < 5; round++) {
    await Promise.all(
      context.cluster.daemons.slice(0, 3).map((daemon) => context.applyChange(daemon)),
    );
    await sleep(300);
  }
}

async function rollingRestart(context: ChaosContext): Promise<void> {
  for (const daemon of context.cluster.daemons) {
    await context.stopDaemon(daemon);
    await context.startDaemon(daemon);
  }
  await context.applyChange();
}

async function zoneCutOff(context: ChaosContext): Promise<void> {
  const inside = context.cluster.daemons.filter((daemon) => daemon.zone === 'c');
  const outside = context.cluster.daemons.filter((daemon) => daemon.zone !== 'c');
  const engines = context.cluster.engines;
  const outsideAddresses = [
    ...outside.map((daemon) => daemon.peers),
    ...engines.filter((engine) => engine.zone !== 'c').map((engine) => engine.address),
    context.cluster.platformAddress,
  ];
  const insideAddresses = [
    ...inside.map((daemon) => daemon.peers),
    ...engines.filter((engine) => engine.zone === 'c').map((engine) => engine.address),
  ];
  await sleep(FAULT_DELAY_MS);
  for (const daemon of inside)
    await context.cluster.setLinkFaults(daemon, outsideAddresses, outsideAddresses);
  for (const daemon of outside)
    await context.cluster.setLinkFaults(daemon, insideAddresses, insideAddresses);
  await context.applyChange(outside[0], outside);
  await sleep(4_000);
  for (const daemon of context.cluster.daemons) await context.cluster.setLinkFaults(daemon, [], []);
  await sleep(4_500);
  await context.applyChange();
}

async function burstForColdModel(context: ChaosContext): Promise<void> {
  for (let round = 0; round < 3; round++) {
    context.load.sendToAllDaemons(context.coldTenant);
    await sleep(2_200);
  }
  await context.applyChange();
}

async function engineLosesReplies(context: ChaosContext): Promise<void> {
  for (const engine of context.cluster.engines) {
    await context.cluster.setEngineFaults(engine, { loseOrderReplies: 4, orderDelayMs: 120 });
  }
  await sleep(3_000);
  await killOwner(context, 'b');
}

async function streamsCut(context: ChaosContext): Promise<void> {
  for (let round = 0; round < 6; round++) {
    await sleep(500);
    for (const engine of context.cluster.engines) {
      await context.cluster.setEngineFaults(engine, { cutStreams: true });
    }
  }
  await context.applyChange();
}

async function engineFrozen(context: ChaosContext): Promise<void> {
  const engine = engineIn(context.cluster, 'b');
  await sleep(FAULT_DELAY_MS);
  engine.process.signal('SIGSTOP');
  await sleep(5_000);
  engine.process.signal('SIGCONT');
  await context.applyChange();
}

async function severalAtOnce(context: ChaosContext): Promise<void> {
  const engine = engineIn(context.cluster, 'a');
  const owner = await context.ownerOf('a');
  const others = othersThan(context, owner);
  await sleep(FAULT_DELAY_MS);
  await context.cluster.setPlatformFaults({ delayMs: 300, loseReplies: 2 });
  await Promise.all([engine.process.kill(), context.killDaemon(owner)]);
  await context.cluster.setWeightStoreStalled(true);
  await sleep(1_000);
  context.cluster.restartEngine(engine);
  await sleep(1_000);
  await context.cluster.setWeightStoreStalled(false);
  await context.cluster.setPlatformFaults({ delayMs: 0, loseReplies: 0 });
  await context.applyChange(others[0], others);
  await context.startDaemon(owner);
}

async function severalAtOnceTwice(context: ChaosContext): Promise<void> {
  await severalAtOnce(context);
  await sleep(2_000);
  await severalAtOnce(context);
}

/** All scenarios, in the order in which they are run. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'calm', seconds: 5, injectFault: async (context) => void (await context.applyChange()) },
  { name: 'owner-killed', seconds: 8, injectFault: (context) => killOwner(context, 'a') },
  { name: 'owner-paused', seconds: 9, injectFault: pauseOwner },
  { name: 'router-killed', seconds: 8, injectFault: killRouter },
  { name: 'engines-restarted', seconds: 8, injectFault: restartEngines },
  { name: 'engine-frozen', seconds: 9, injectFault: engineFrozen },
  { name: 'link-owner-engine-cut', seconds: 9, injectFault: cutOwnerFromEngine },
  { name: 'daemon-cut-off', seconds: 10, injectFault: cutDaemonFromPeers },
  { name: 'platform-down', seconds: 10, injectFault: platformDown },
  { name: 'platform-slow', seconds: 9, injectFault: platformSlow },
  { name: 'platform-loses-replies', seconds: 9, injectFault: platformLosesReplies },
  { name: 'weight-store-stalled', seconds: 8, injectFault: weightStoreStalled },
  { name: 'machine-reclaimed', seconds: 9, injectFault: machineReclaimed },
  { name: 'operators-race', seconds: 7, injectFault: operatorsRace },
  { name: 'rolling-restart', seconds: 16, injectFault: rollingRestart },
  { name: 'zone-cut-off', seconds: 12, injectFault: zoneCutOff },
  { name: 'cold-burst', seconds: 8, injectFault: burstForColdModel },
  { name: 'engine-loses-replies', seconds: 9, injectFault: engineLosesReplies },
  { name: 'streams-cut', seconds: 6, injectFault: streamsCut },
  { name: 'several-at-once', seconds: 9, injectFault: severalAtOnce },
  { name: 'several-twice', seconds: 16, injectFault: severalAtOnceTwice },
];
