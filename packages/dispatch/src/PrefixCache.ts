import type { PromptPart } from "./Job.js";

/** A model of the prompt parts that one engine keeps, from the requests that this VM sent there. */
export interface PrefixCache {
    /** Tokens at the front of a prompt that are probably kept. */
    keptTokens(parts: readonly PromptPart[], sessionHash: number, nowMs: number): number;
    /** The engine reads a prompt: its parts become the most recently used. */
    touch(parts: readonly PromptPart[]): void;
    /** Another VM sent a prompt of this session there. */
    touchSession(sessionHash: number, nowMs: number): void;
}

/** Time in ms for which a session of another VM's request counts as kept. Engines keep parts that are in use for long. */
const sessionKeptMs = 20_000;

export function createPrefixCache(capacityTokens: () => number): PrefixCache {
    const sessions = new Map<number, number>();
    // A Map iterates in order of insertion; touching a part moves it to the end, so the first is the least recent.
    const tokensOf = new Map<string, number>();
    let total = 0;

    const evict = (): void => {
        const capacity = capacityTokens();
        for (const [id, tokens] of tokensOf) {
            if (total <= capacity) {
                return;
            }
            tokensOf.delete(id);
            total -= tokens;
        }
    };

    return {
        keptTokens(parts, sessionHash, nowMs) {
            if ((sessions.get(sessionHash) ?? Number.NEGATIVE_INFINITY) >= nowMs - sessionKeptMs) {
                // All parts but the last are shared by the requests of a session.
                return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
            }
            const missing = parts.findIndex(({ id }) => !tokensOf.has(id));
            return parts.slice(0, missing < 0 ? parts.length : missing).reduce((sum, part) => sum + part.tokens, 0);
        },
        touch(parts) {
            parts.forEach(({ id, tokens }) => {
                total += tokens - (tokensOf.get(id) ?? 0);
                tokensOf.delete(id);
                tokensOf.set(id, tokens);
            });
            evict();
        },
        touchSession(sessionHash, nowMs) {
            sessions.delete(sessionHash);
            sessions.set(sessionHash, nowMs);
            const oldest = sessions.entries().next().value;
            if (oldest && oldest[1] < nowMs - sessionKeptMs) {
                sessions.delete(oldest[0]);
            }
        },
    };
}
