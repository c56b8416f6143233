/** What can be set at a stand-in of an engine, and what it logs. */

/** How fast and how large the engine is. */
export interface EngineStandInOptions {
  readonly name: string;
  readonly capacityBytes: number;
  /** Bytes a second from this machine's memory and disk. */
  readonly memoryBytesPerSecond: number;
  readonly diskBytesPerSecond: number;
  /** Milliseconds of every load besides the transfer. */
  readonly loadOverheadMs: number;
  readonly tokenIntervalMs: number;
  /** Models that the caches hold at the start. */
  readonly memoryCache: readonly string[];
  readonly diskCache: readonly string[];
  /** Models that the memory cache holds at most. */
  readonly memoryCacheSize: number;
  /** Writes one event to the engine's log. */
  readonly log: (event: EngineLogEvent) => void;
}

/** One line of the engine's log. Times are Unix milliseconds. */
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
  /** Swallow everything and make no progress. */
  frozen: boolean;
  /** That many of the next orders take effect but lose their reply. */
  loseOrderReplies: number;
  /** Milliseconds added to orders. */
  orderDelayMs: number;
  /** Factor on the time of loads and tokens. */
  slowFactor: number;
  /** Cut all request streams once. */
  cutStreams: boolean;
  /** Answer requests with nonsense. */
  nonsense: boolean;
  /** Seeded faults that the auditor must see. */
  ignoreFence: boolean;
  corruptTokens: boolean;
}
