/** Takes the replica that is least full, by this router's own count and the engine's word. */
import type { ReplicaChoice, ReplicaView } from './replica-choice.js';

/** Least loaded first; a replica at this router's share is full. */
export class LeastLoadedChoice implements ReplicaChoice {
  choose(replicas: readonly ReplicaView[]): ReplicaView | undefined {
    let best: ReplicaView | undefined;
    for (const replica of replicas) {
      if (replica.inFlight >= replica.share) continue;
      if (best === undefined || fullness(replica) < fullness(best)) best = replica;
    }
    return best;
  }
}

function fullness(replica: ReplicaView): number {
  return Math.max(replica.inFlight / replica.share, replica.reportedLoad);
}
