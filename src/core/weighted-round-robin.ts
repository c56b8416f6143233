/** Smooth weighted round robin: the shares match the weights within a few choices. */

interface Weighted {
  readonly weight: number;
}

/** Chooses among options deterministically, in proportion to their weights. */
export class WeightedRoundRobin<Option extends Weighted> {
  private readonly credit: number[];
  private readonly total: number;

  constructor(private readonly options: readonly Option[]) {
    this.credit = options.map(() => 0);
    this.total = options.reduce((sum, option) => sum + option.weight, 0);
  }

  /** Returns the next option; undefined if no option has a positive weight. */
  next(): Option | undefined {
    let best: number | undefined;
    for (const [index, option] of this.options.entries()) {
      if (option.weight <= 0) continue;
      const credit = (this.credit[index] ?? 0) + option.weight;
      this.credit[index] = credit;
      if (best === undefined || credit > (this.credit[best] ?? 0)) best = index;
    }
    if (best === undefined) return undefined;
    this.credit[best] = (this.credit[best] ?? 0) - this.total;
    return this.options[best];
  }

  /** Whether the given options equal the current ones, in the same order. */
  hasSameOptions(options: readonly Option[], same: (a: Option, b: Option) => boolean): boolean {
    if (options.length !== this.options.length) return false;
    return options.every((option, index) => {
      const current = this.options[index];
      return current !== undefined && same(option, current);
    });
  }
}
