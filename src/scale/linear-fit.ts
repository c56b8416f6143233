/** A straight line through measured points, by least squares. */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The line `y = base + slope * x`, and how much of the spread it explains (0 to 1). */
export interface Line {
  readonly base: number;
  readonly slope: number;
  readonly explained: number;
}

/** Fits a line through at least two points with different x. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count;
  const spreadX = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
  const joint = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
  const spreadY = points.reduce((sum, point) => sum + (point.y - meanY) ** 2, 0);
  const slope = spreadX === 0 ? 0 : joint / spreadX;
  const explained = spreadX === 0 || spreadY === 0 ? 1 : joint ** 2 / (spreadX * spreadY);
  return { base: meanY - slope * meanX, slope, explained };
}

/** The value of a line at x. */
export function valueAt(line: Line, x: number): number {
  return line.base + line.slope * x;
}
