/** Smooth weighted round robin: shares follow the weights within a few choices. */

interface Weighted {
  readonly weight: number;
}

/** Chooses among options by weight, deterministically. */
export class WeightedChoice<Option extends Weighted> {
  private readonly credit: number[];
  private readonly total: number;

  constructor(private readonly options: readonly Option[]) {
    this.credit = options.map(() => 0);
    this.total = options.reduce((sum, option) => sum + option.weight, 0);
  }

  /** The next option; undefined if no option has a weight. */
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

  /** Whether the options are the same as these, in the same order. */
  isSame(options: readonly Option[], same: (a: Option, b: Option) => boolean): boolean {
    if (options.length !== this.options.length) return false;
    return options.every((option, index) => {
      const own = this.options[index];
      return own !== undefined && same(option, own);
    });
  }
}
