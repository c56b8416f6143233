/** Chooses the least loaded replica, by this router's own request count and the engine's reported load. */
import type { ReplicaChoice, ReplicaView } from './replica-choice.js';

/** Least loaded first; a replica with this router's full share of requests in flight is not chosen. */
export class LeastLoadedChoice implements ReplicaChoice {
  choose(replicas: readonly ReplicaView[]): ReplicaView | undefined {
    let leastLoaded: ReplicaView | undefined;
    for (const replica of replicas) {
      if (replica.inFlight >= replica.share) continue;
      if (leastLoaded === undefined || loadOf(replica) < loadOf(leastLoaded)) leastLoaded = replica;
    }
    return leastLoaded;
  }
}

function loadOf(replica: ReplicaView): number {
  return Math.max(replica.inFlight / replica.share, replica.reportedLoad);
}
