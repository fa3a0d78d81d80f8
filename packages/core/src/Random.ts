/** Returns a number uniformly distributed in [0, 1). Injected, so that tests are reproducible by seed. */
export type Random = () => number;

/** Returns the items in random order, without changing the input. */
export function shuffle<T>(items: readonly T[], random: Random): T[] {
    return items
        .map(item => ({ item, order: random() }))
        .sort((left, right) => left.order - right.order)
        .map(({ item }) => item);
}
