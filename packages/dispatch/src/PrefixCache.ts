import type { PromptPart } from "./Job.js";

/** Model of the prompt parts in one engine's prefix cache, derived from the requests that were sent to it. */
export interface PrefixCache {
    /** Tokens of the prompt prefix that are probably cached. */
    cachedTokens(parts: readonly PromptPart[]): number;
    /** Records that the engine prefills a prompt: its parts become the most recently used. */
    touch(parts: readonly PromptPart[]): void;
}

export function createPrefixCache(capacityTokens: () => number): PrefixCache {
    // A Map iterates in order of insertion; touching a part moves it to the end, so the first is the least recently used.
    const tokensOf = new Map<string, number>();
    let totalTokens = 0;

    const evict = (): void => {
        const capacity = capacityTokens();
        for (const [id, tokens] of tokensOf) {
            if (totalTokens <= capacity) {
                return;
            }
            tokensOf.delete(id);
            totalTokens -= tokens;
        }
    };

    return {
        cachedTokens(parts) {
            const firstMiss = parts.findIndex(({ id }) => !tokensOf.has(id));
            return parts.slice(0, firstMiss < 0 ? parts.length : firstMiss).reduce((sum, part) => sum + part.tokens, 0);
        },
        touch(parts) {
            parts.forEach(({ id, tokens }) => {
                totalTokens += tokens - (tokensOf.get(id) ?? 0);
                tokensOf.delete(id);
                tokensOf.set(id, tokens);
            });
            evict();
        },
    };
}
