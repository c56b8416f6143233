/** Options, fault switches and log events of the engine stand-in. */

/** Capacity, speeds and initial caches of the engine. */
export interface EngineStandInOptions {
  readonly name: string;
  readonly capacityBytes: number;
  /** Speed of loading a model from this machine's memory cache. */
  readonly memoryBytesPerSecond: number;
  /** Speed of loading a model from this machine's disk cache. */
  readonly diskBytesPerSecond: number;
  /** Milliseconds that each load takes in addition to the transfer. */
  readonly loadOverheadMs: number;
  readonly tokenIntervalMs: number;
  /** Models in the caches at the start. */
  readonly memoryCache: readonly string[];
  readonly diskCache: readonly string[];
  /** Maximum number of models in the memory cache. */
  readonly memoryCacheSize: number;
  /** Receives each event for the engine's log. */
  readonly log: (event: EngineLogEvent) => void;
}

/**
 * One line of the engine's log. Times are Unix milliseconds. `hold` and `release` mark the
 * time in which a replica occupies memory; `run` marks the start of a request's execution.
 */
export interface EngineLogEvent {
  readonly at: number;
  readonly engine: string;
  readonly incarnation: string;
  readonly event:
    | 'start'
    | 'hold'
    | 'loaded'
    | 'release'
    | 'run'
    | 'finish'
    | 'abort'
    | 'received'
    | 'refused'
    | 'leaving'
    | 'cancelled';
  readonly tenant?: string;
  readonly request?: string;
  readonly usedBytes?: number;
  readonly capacityBytes?: number;
  readonly epoch?: number;
  readonly detail?: string;
}

/** Fault switches; all off by default. */
export interface EngineFaults {
  /** Leave calls unanswered and make no progress with loads and tokens. */
  frozen: boolean;
  /** This many of the next orders take effect, but their replies are dropped. */
  loseOrderReplies: number;
  /** Delay in milliseconds before an order is applied. */
  orderDelayMs: number;
  /** Factor by which loads and tokens take longer. */
  slowFactor: number;
  /** Break all open request streams once; then switches itself off. */
  cutStreams: boolean;
  /** Answer calls with malformed data. */
  nonsense: boolean;
  /** Apply orders without checking their fence; a deliberate fault that the auditor must detect. */
  ignoreFence: boolean;
  /** Send wrong token texts; a deliberate fault that the auditor must detect. */
  corruptTokens: boolean;
}
