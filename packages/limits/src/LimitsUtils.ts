const unitRoundoff = 2 ** -23;

/** Largest 32-bit float that is not above `cost`, for a cost of at least 0. */
export function roundDown32(cost: number): number {
    const rounded = Math.fround(cost);
    return rounded <= cost ? rounded : Math.fround(rounded * (1 - unitRoundoff));
}

/** A 32-bit float that is not below `cost`, for a cost of at least 0. */
export function roundUp32(cost: number): number {
    const rounded = Math.fround(cost);
    return rounded >= cost ? rounded : Math.fround(rounded * (1 + unitRoundoff));
}

/** Resource name of a bucket, by which `ownership` finds its owner. */
export function bucketResource(customer: string, index: number): string {
    return `bucket/${customer}/${index}`;
}

export function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
