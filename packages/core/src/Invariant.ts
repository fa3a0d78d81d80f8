/** Throws if a condition that the code itself guarantees does not hold. For programming errors only. */
export function invariant(condition: unknown, message: string): asserts condition {
    if (!condition) {
        throw new Error(`Invariant violated: ${message}`);
    }
}
