import { describe, expect, it } from 'vitest';
import type { LogFields } from '../../src/common/logger.js';
import { GatewayMetrics } from '../../src/gateway/gateway-metrics.js';
import { UnownedService } from '../../src/gateway/unowned-service.js';

const INPUTS = { live: 3, listed: 7, recordUnchangedMs: 0 };
const inputs = (): typeof INPUTS => INPUTS;

describe('a service without an owner', () => {
  it('is reported when a takeover takes too long, and ever more rarely', async () => {
    const lines: LogFields[] = [];
    const write = (event: string, fields: LogFields = {}): void => {
      lines.push({ event, ...fields });
    };
    const metrics = new GatewayMetrics();
    const service = new UnownedService(
      'models',
      { info: write, warn: write, error: write },
      metrics,
    );
    for (let now = 0; now < 4_900; now += 100) service.observe(false, inputs, now);
    service.observe(true, inputs, 4_900);
    expect(lines).toEqual([]);
    for (let now = 5_000; now <= 305_000; now += 100) service.observe(false, inputs, now);
    expect(lines.map(({ unownedMs }) => unownedMs)).toEqual([
      5_000, 10_000, 20_000, 40_000, 80_000, 140_000, 200_000, 260_000,
    ]);
    expect(lines[0]).toEqual({
      event: 'service_unowned',
      service: 'models',
      unownedMs: 5_000,
      ...INPUTS,
    });
    expect(await secondsOf(metrics)).toBe(300);
    service.observe(true, inputs, 306_000);
    expect(await secondsOf(metrics)).toBe(0);
  });
});

async function secondsOf({ unownedSeconds }: GatewayMetrics): Promise<number | undefined> {
  return (await unownedSeconds.get()).values[0]?.value;
}
