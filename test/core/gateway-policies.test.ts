import { describe, expect, it } from 'vitest';
import { stepAfterFailure, type AttemptHistory } from '../../src/core/attempt-policy.js';
import type { BackendList } from '../../src/core/backend-presence.js';
import { BackendDirectory } from '../../src/core/backend-directory.js';
import { BackendHealth } from '../../src/core/backend-health.js';
import { EventStreamParser } from '../../src/core/event-stream.js';
import { CallerDeadlines } from '../../src/core/caller-deadlines.js';
import type { HeldRequest, HoldDecision } from '../../src/core/hold-policy.js';
import { ExpectedServiceHold } from '../../src/core/hold-policy-expected-service.js';
import { GoalWindowHold } from '../../src/core/hold-policy-goal-windows.js';
import type { DemandReport } from '../../src/core/demand-report.js';
import { ModelDemand } from '../../src/core/model-demand.js';
import { RetryBudget } from '../../src/core/retry-budget.js';
import { RoutingTable } from '../../src/core/routing-table.js';
import { StoreLoadWindow } from '../../src/core/store-load-ceiling.js';
import type { BackendRecord, Repeatability } from '../../src/core/service-configuration.js';
import { testConfiguration, testRoute } from '../gateway/gateway-harness.js';
import { updateOf, demandSampleOf } from './gateway-fixtures.js';

describe('RetryBudget', () => {
  const limits = { ratio: 0.2, windowMs: 10_000, slack: 40 };

  it('grants no retries from the slack within one window of its start, because its predecessor may have used them', () => {
    const budget = new RetryBudget(limits, 0);
    expect(budget.takeRetry(9_999, 4)).toBe(false);
    expect(budget.takeRetry(10_000, 4)).toBe(true);
  });

  it('grants its share of the slack plus a share of its own requests in any window', () => {
    const budget = new RetryBudget(limits, -20_000);
    for (let count = 0; count < 10; count++) budget.countRequest(1_000);
    let granted = 0;
    for (let count = 0; count < 50; count++) granted += Number(budget.takeRetry(2_000, 4));
    expect(granted).toBe(12);
    expect(budget.takeRetry(11_999, 4)).toBe(false);
    expect(budget.takeRetry(12_001, 4)).toBe(true);
  });

  it('grants a returned retry once more, unless it has left the window', () => {
    const budget = new RetryBudget({ ...limits, ratio: 0, slack: 1 }, -20_000);
    expect(budget.takeRetry(1_000, 1)).toBe(true);
    budget.returnRetry(1_000);
    expect(budget.takeRetry(2_000, 1)).toBe(true);
    expect(budget.takeRetry(12_001, 1)).toBe(true);
    budget.returnRetry(2_000);
    expect(budget.takeRetry(12_002, 1)).toBe(false);
  });

  it('keeps all daemons together within the limit, also when all of them restart', () => {
    const daemons = 5;
    const before = Array.from({ length: daemons }, () => new RetryBudget(limits, -20_000));
    const after = Array.from({ length: daemons }, () => new RetryBudget(limits, 500));
    let granted = 0;
    for (let time = 0; time < 10_000; time += 100) {
      for (const budget of time < 500 ? before : after) {
        for (let count = 0; count < 5; count++) granted += Number(budget.takeRetry(time, daemons));
      }
    }
    expect(granted).toBeLessThanOrEqual(limits.slack);
  });
});

describe('afterFailure', () => {
  const route = (repeatability: Repeatability): ReturnType<typeof testRoute> =>
    testRoute({ repeatability, maxAttempts: 2 });
  const history = (runs: number, sends: number, isAnswerBegun = false): AttemptHistory => {
    return { runs, sends, isAnswerBegun };
  };

  it('retries a request that has not run, regardless of its repeatability', () => {
    const failed = { ran: 'no', reached: true } as const;
    expect(stepAfterFailure(route('once'), failed, history(0, 1))).toBe('retry');
  });

  it('retries a request that may have run only if it is repeatable, up to the maximum of attempts', () => {
    const failed = { ran: 'unknown', reached: true } as const;
    expect(stepAfterFailure(route('once'), failed, history(1, 1))).toBe('fail');
    expect(stepAfterFailure(route('stream_once'), failed, history(1, 1))).toBe('fail');
    expect(stepAfterFailure(route('repeatable'), failed, history(1, 1))).toBe('retry');
    expect(stepAfterFailure(route('repeatable'), failed, history(2, 2))).toBe('fail');
  });

  it('refuses a request with a retry time after repeated refusals by backends', () => {
    const failed = { ran: 'no', reached: true } as const;
    expect(stepAfterFailure(route('once'), failed, history(0, 4))).toBe('refuse');
  });

  it('retries a stream that its caller has begun to receive after repeated refusals, after a backoff', () => {
    const refused = { ran: 'no', reached: true } as const;
    const stream = route('resumable_stream');
    expect(stepAfterFailure(stream, refused, history(1, 3, true))).toBe('retry');
    expect(stepAfterFailure(stream, refused, history(1, 4, true))).toBe('retry_after_backoff');
    expect(stepAfterFailure(stream, refused, history(2, 4, true))).toBe('fail');
    expect(stepAfterFailure(stream, refused, history(1, 4))).toBe('fail');
  });
});

function decideByGoalWindow(request: HeldRequest): HoldDecision {
  return new GoalWindowHold().decide(request);
}

describe('GoalWindowHold', () => {
  const request = {
    goalMs: 600,
    waitedMs: 0,
    remainingMs: 10_000,
    readyInMs: 200,
    isRetry: false,
  };

  it('holds a request that can meet its goal', () => {
    expect(decideByGoalWindow(request)).toEqual({ type: 'hold' });
  });

  it('refuses at once a request that cannot meet its goal, with a retry time', () => {
    const decision = decideByGoalWindow({ ...request, readyInMs: 1_700 });
    expect(decision).toEqual({ type: 'refuse', retryAfterMs: 1_850 });
  });

  it('does not refuse a request that it has already held for some time', () => {
    const late = decideByGoalWindow({ ...request, readyInMs: 1_700, waitedMs: 500 });
    expect(late).toEqual({ type: 'hold' });
  });

  it('refuses a request whose deadline passes before the model is loaded', () => {
    const decision = decideByGoalWindow({
      ...request,
      waitedMs: 500,
      readyInMs: 900,
      remainingMs: 800,
    });
    expect(decision.type).toBe('refuse');
  });
});

describe('GoalWindowHold for a caller that retries after a refusal', () => {
  const returned = { goalMs: 600, waitedMs: 0, remainingMs: 10_000, isRetry: true };

  it('holds the request while it can probably be served', () => {
    expect(decideByGoalWindow({ ...returned, readyInMs: 6_000 }).type).toBe('hold');
    expect(decideByGoalWindow({ ...returned, readyInMs: undefined }).type).toBe('hold');
  });

  it('refuses the request at once when it cannot be served', () => {
    expect(decideByGoalWindow({ ...returned, readyInMs: 9_000 }).type).toBe('refuse');
  });
});

describe('ExpectedServiceHold', () => {
  const request = {
    goalMs: 600,
    waitedMs: 0,
    remainingMs: 2_400,
    readyInMs: 1_500,
    isRetry: false,
  };

  it('holds a request that will probably be served late, for first and repeated tries and any time waited', () => {
    const policy = new ExpectedServiceHold();
    expect(policy.decide(request).type).toBe('hold');
    expect(policy.decide({ ...request, isRetry: true, waitedMs: 500 }).type).toBe('hold');
  });

  it('refuses at once a request that will probably not be served, with a retry time', () => {
    const decision = new ExpectedServiceHold().decide({ ...request, readyInMs: 2_600 });
    expect(decision).toEqual({ type: 'refuse', retryAfterMs: 2_750 });
  });

  it('learns the error of forecasts, also from requests that ended unserved', () => {
    const policy = new ExpectedServiceHold();
    for (let count = 0; count < 64; count++) {
      policy.recordWait({ forecastMs: 1_000, spentMs: 2_000, wasSent: count % 2 === 0 });
      policy.recordWait({ forecastMs: 1_000, spentMs: 200, wasSent: false });
    }
    expect(policy.decide(request).type).toBe('refuse');
    expect(policy.decide({ ...request, readyInMs: 900 }).type).toBe('hold');
  });

  it('holds a request without a forecast only for a limited time', () => {
    const policy = new ExpectedServiceHold();
    const unknown = { ...request, readyInMs: undefined };
    expect(policy.decide({ ...unknown, waitedMs: 500 }).type).toBe('hold');
    expect(policy.decide({ ...unknown, waitedMs: 650 }).type).toBe('refuse');
    expect(policy.decide({ ...unknown, waitedMs: 250, remainingMs: 350 }).type).toBe('refuse');
  });
});

describe('CallerDeadlines', () => {
  const deadlinesOf = (...observed: number[]): CallerDeadlines => {
    const deadlines = new CallerDeadlines();
    for (const deadline of observed) deadlines.recordDeadline(deadline);
    return deadlines;
  };

  it('treats a caller with a shorter deadline than usual as one that retries', () => {
    const deadlines = deadlinesOf(25_000, 24_992, 25_000, 24_990, 18_000);
    expect(deadlines.isLikelyRetry(18_000)).toBe(true);
    expect(deadlines.isLikelyRetry(24_990)).toBe(false);
  });

  it('has no usual deadline if the deadlines of callers differ', () => {
    const deadlines = deadlinesOf(9_000, 3_000, 7_000, 5_000);
    expect(deadlines.isLikelyRetry(3_000)).toBe(false);
  });

  it('adapts when callers start to send shorter deadlines', () => {
    const deadlines = deadlinesOf(25_000, ...Array.from({ length: 64 }, () => 10_000));
    expect(deadlines.isLikelyRetry(10_000)).toBe(false);
  });
});

describe('RoutingTable', () => {
  it('selects the route with the longest matching path prefix of the host', () => {
    const long = testRoute({ name: 'long', pathPrefix: '/work/more/' });
    const table = new RoutingTable(testConfiguration({ routes: [testRoute(), long] }));
    expect(table.route('service.test', '/work/more/x')?.name).toBe('long');
    expect(table.route('service.test', '/work/x')?.name).toBe('route');
    expect(table.route('other.test', '/work/x')).toBeUndefined();
  });

  it('gives each target its share of requests, also across configuration versions', () => {
    const targets = [
      { service: 'service', weight: 90 },
      { service: 'canary', weight: 10 },
    ];
    const services = ['service', 'canary'].map((name) => {
      return { name, maxConnections: 10, modelHost: undefined };
    });
    const first = testConfiguration({ routes: [testRoute({ targets })], services });
    let table = new RoutingTable(first);
    let canary = 0;
    for (let count = 0; count < 100; count++) {
      if (count === 55) table = new RoutingTable({ ...first, version: 2 }, table);
      canary += Number(table.match('service.test', '/work/x')?.service.name === 'canary');
    }
    expect(canary).toBe(10);
  });
});

describe('EventStreamParser', () => {
  it('returns only complete events, with their bytes and identifiers', () => {
    const parser = new EventStreamParser();
    expect(parser.push(Buffer.from('id: 1\ndata: a\n'))).toEqual([]);
    const events = parser.push(Buffer.from('\nid: 2\ndata: b\n\nid: 3'));
    expect(events.map((event) => event.id)).toEqual(['1', '2']);
    expect(events.map((event) => event.bytes.toString()).join('')).toBe(
      'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
    );
    expect(parser.incompleteBytes).toBe(5);
  });

  it.each(['\n\n', '\n\r\n'])(
    'finds the end %j of an event wherever its bytes are divided',
    (end) => {
      const text = `id: 1\ndata: a\r${end}id: 2\ndata: b${end}`;
      for (let size = 1; size < text.length; size++) {
        const parser = new EventStreamParser();
        const events = [];
        for (let at = 0; at < text.length; at += size) {
          events.push(...parser.push(Buffer.from(text.slice(at, at + size))));
        }
        expect(events.map((event) => event.bytes.toString()).join('')).toBe(text);
        expect(events.map(({ id }) => id)).toEqual(['1', '2']);
        expect(parser.incompleteBytes).toBe(0);
      }
    },
  );

  it('takes no more time for each byte of a long event than of a short one', () => {
    const part = Buffer.from('data: abcdefghi\n');
    const millisecondsFor = (parts: number): number => {
      const parser = new EventStreamParser();
      const startedAt = performance.now();
      for (let count = 0; count < parts; count++) parser.push(part);
      return performance.now() - startedAt;
    };
    millisecondsFor(500);
    const short = Math.max(1, millisecondsFor(1_000));
    // Quadratic cost would take 256 times as long.
    expect(millisecondsFor(16_000)).toBeLessThan(100 * short);
  });
});

describe('StoreLoadWindow', () => {
  it('leaves half of the ceiling for a succeeding owner', () => {
    const window = new StoreLoadWindow({ windowMs: 5_000, loads: 15 });
    let begun = 0;
    while (window.available(0) > 0) {
      window.count(0);
      begun += 1;
    }
    expect(begun).toBe(7);
    expect(window.available(5_001)).toBe(begun);
  });
});

describe('BackendHealth', () => {
  it('avoids a silent backend for a growing time until it answers', () => {
    const health = new BackendHealth();
    health.recordNoResponse('x', 0);
    expect(health.isEjected('x', 200)).toBe(true);
    expect(health.isEjected('x', 300)).toBe(false);
    health.recordNoResponse('x', 300);
    expect(health.isEjected('x', 700)).toBe(true);
    health.recordSuccess('x');
    expect(health.isEjected('x', 700)).toBe(false);
  });

  it('reports a backend as failing that breaks off every request, until it answers', () => {
    const health = new BackendHealth();
    health.recordDisconnect('x', 0);
    expect(health.failingBackends(0)).toEqual([]);
    expect([health.isEjected('x', 50), health.isEjected('x', 60)]).toEqual([true, false]);
    health.recordDisconnect('x', 60);
    expect(health.failingBackends(60)).toEqual(['x']);
    expect(health.failingBackends(5_000)).toEqual([]);
    health.recordDisconnect('x', 5_000);
    health.recordSuccess('x');
    expect(health.failingBackends(5_000)).toEqual([]);
  });
});

describe('ModelDemand', () => {
  const reportOf = (daemon: string, failing: readonly string[]): DemandReport => {
    return { daemon, samples: [], use: [], failing };
  };

  it('accepts a report of a few failing backends, but not of many', () => {
    const demand = new ModelDemand();
    demand.applyReport(reportOf('a', ['x']), 0);
    demand.applyReport(reportOf('b', ['u', 'v', 'w', 'y', 'z']), 0);
    expect([...demand.failingBackends(20, 0)]).toEqual(['x']);
    expect([...demand.failingBackends(20, 5_000)]).toEqual([]);
  });

  it('ranks models by the earliest due time over all daemons', () => {
    const demand = new ModelDemand();
    const samples = (model: string, dueInMs: number): DemandReport['samples'] => [
      demandSampleOf(model, { dueInMs }),
    ];
    demand.applyReport({ ...reportOf('a', []), samples: samples('x', 4_000) }, 0);
    demand.applyReport({ ...reportOf('b', []), samples: samples('y', 2_500) }, 0);
    demand.applyReport({ ...reportOf('c', []), samples: samples('x', 3_000) }, 1_000);
    expect(demand.waiting(1_000).map(({ model }) => model)).toEqual(['y', 'x']);
    demand.applyReport({ ...reportOf('d', []), samples: samples('x', 100) }, 1_000);
    expect(demand.waiting(1_000).map(({ model }) => model)).toEqual(['x', 'y']);
  });

  it('ranks a frequently requested model first although its callers were refused with a retry time', () => {
    const demand = new ModelDemand();
    const refused = demandSampleOf('hot', { arrivals: 30, goalMs: 400, dueInMs: 8_000 });
    const waiting = demandSampleOf('rare', { goalMs: 2_500, dueInMs: 2_300 });
    demand.applyReport({ ...reportOf('a', []), samples: [waiting, refused] }, 0);
    expect(demand.waiting(0).map(({ model }) => model)).toEqual(['hot', 'rare']);
  });

  it('drops a model without recent requests although its rate is read', () => {
    const demand = new ModelDemand();
    demand.applyReport(
      { ...reportOf('a', []), samples: [demandSampleOf('x', { goalMs: 600 })] },
      0,
    );
    for (let now = 0; now <= 90_000; now += 5_000) {
      demand.rateOf({ model: 'x', adapter: undefined }, now);
    }
    expect(demand.urgentModels(90_000)).toEqual(['x']);
    expect(demand.urgentModels(97_000)).toEqual([]);
  });

  it('sums the requests in flight over the latest report of each daemon', () => {
    const demand = new ModelDemand();
    const use = { backend: 'x', model: 'm', adapter: 'a1', inFlight: 2 };
    const model = { model: 'm', adapter: undefined };
    demand.applyReport({ ...reportOf('a', []), use: [use] }, 0);
    demand.applyReport({ ...reportOf('b', []), use: [{ ...use, adapter: undefined }] }, 0);
    expect(demand.inFlight('x', model, 0)).toBe(4);
    expect(demand.inFlight('x', use, 0)).toBe(2);
    demand.applyReport(reportOf('a', []), 100);
    expect(demand.inFlight('x', model, 100)).toBe(2);
    expect(demand.inFlight('x', model, 9_000)).toBe(0);
  });
});

/** Creates a complete list of backends at a revision of the store. */
function listOf(revision: number, ...backends: BackendRecord[]): BackendList {
  return { backends, revision, mayMissBackends: false };
}

describe('BackendDirectory', () => {
  const record = (id: string, leaving = false): BackendRecord => ({
    id,
    service: 's',
    address: '',
    zone: '',
    slots: 1,
    leaving,
    models: [{ name: 'm', adapters: [] }],
    revision: 1,
    sequence: 0,
    inMemory: [],
    onDisk: [],
  });

  it('does not list an ended backend as serving although an outdated list contains it', () => {
    const directory = new BackendDirectory();
    directory.setBackends(listOf(1, record('x'), record('y')), 0);
    const { ended } = directory.setBackends(listOf(2, record('x', true)), 0);
    expect(ended.map(({ id }) => id)).toEqual(['x', 'y']);
    directory.setBackends(listOf(2, record('x'), record('y')), 0);
    expect(directory.servingBackends('s')).toEqual([]);
  });

  it('keeps the limit of store loads that the last owner had learned', () => {
    const directory = new BackendDirectory();
    expect(directory.storeLoadLimitOf('s')).toBe(0);
    directory.applyPlacementUpdate(updateOf({ storeLoadLimit: 12 }), 0);
    expect(directory.storeLoadLimitOf('s')).toBe(12);
  });

  it('returns the load in progress that the owner announced last', () => {
    const directory = new BackendDirectory();
    directory.setBackends(listOf(1, record('x')), 0);
    const placed = { name: 'new', adapters: [], readyInMs: 4_000, unloading: false };
    directory.applyPlacementUpdate(updateOf({ backends: new Map([['x', [placed]]]) }), 0);
    expect(directory.expectedLoadAt(record('x'), 100)).toEqual({
      model: 'new',
      expectedEnd: 4_000,
    });
    expect(directory.expectedLoadAt(record('x'), 5_000)).toBeUndefined();
  });

  it('prefers updates of the owner over the list, and uses the list when the owner is silent', () => {
    const directory = new BackendDirectory();
    directory.setBackends(listOf(1, record('x')), 0);
    const model = { model: 'm', adapter: undefined };
    const placed = { name: 'm', adapters: [], readyInMs: 0, unloading: true };
    directory.applyPlacementUpdate(updateOf({ backends: new Map([['x', [placed]]]) }), 0);
    expect(directory.holds(record('x'), model, 100)).toBe(false);
    expect(directory.holds(record('x'), model, 5_000)).toBe(true);
  });
});
