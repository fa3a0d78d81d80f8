/** What a customer has recently used, and what it was refused for want of capacity. */
export interface CustomerDemand {
    readonly begunTokens: number;
    readonly refusedTokens: number;
}

/**
 * The max-min fair share of the capacity that customers use together: who asks for less gets all it asks for, and the others get
 * this much each. The largest demand if all demands are met.
 */
export function fairShareOf(customers: readonly CustomerDemand[]): number {
    const demands = customers.map(({ begunTokens, refusedTokens }) => begunTokens + refusedTokens)
        .sort((left, right) => left - right);
    let capacity = customers.reduce((sum, { begunTokens }) => sum + begunTokens, 0);
    let remaining = demands.length;
    for (const demand of demands) {
        if (demand > capacity / remaining) {
            return capacity / remaining;
        }
        capacity -= demand;
        remaining--;
    }
    return demands.at(-1) ?? 0;
}

/**
 * Points between which pressure is interpolated: usage as a multiple of the fair share, and pressure. Up to 0.7 a customer may spill
 * over to engines without its prefix. At 1, customers that share the capacity equally leave few slots unused, which light ones need.
 * From 1.3 on pressure is full, since no customer may get twice as much as another one that asks for as much.
 */
const pressurePoints: readonly { readonly shareUsed: number; readonly pressure: number; }[] = [
    { shareUsed: 0, pressure: 0 },
    { shareUsed: 0.7, pressure: 0.3 },
    { shareUsed: 1, pressure: 0.65 },
    { shareUsed: 1.3, pressure: 1 },
];

/** How much a customer is held back under load, 0 to 1, given its usage as a multiple of its fair share. */
export function pressureOf(shareUsed: number): number {
    const next = pressurePoints.findIndex(point => shareUsed < point.shareUsed);
    const from = pressurePoints[next - 1];
    const to = pressurePoints[next];
    if (!from || !to) {
        return 1;
    }
    const progress = (shareUsed - from.shareUsed) / (to.shareUsed - from.shareUsed);
    return from.pressure + progress * (to.pressure - from.pressure);
}

/** Share of the demand that is refused from which only fair shares count. Below it, relative usage counts in part. */
const overloadRefusedShare = 0.05;

/** To what extent customers are held back by their fair shares, 0 to 1. It is 0 while nothing is refused. */
export function fairShareWeight(customers: readonly CustomerDemand[]): number {
    const begun = customers.reduce((sum, { begunTokens }) => sum + begunTokens, 0);
    const refused = customers.reduce((sum, { refusedTokens }) => sum + refusedTokens, 0);
    return refused <= 0 ? 0 : Math.min(1, refused / (begun + refused) / overloadRefusedShare);
}
