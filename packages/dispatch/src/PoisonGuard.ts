import type { CrashMark } from "@peridotloft/fleet";

/** Finds requests that crash the upstreams that run them, so that they are not sent again. */
export interface PoisonGuard {
    /** Notes that a request ran at an upstream that crashed; true if it counts as the cause of crashes from now on. */
    note(mark: CrashMark, nowMs: number): boolean;
    /** Whether any mark is held; if not, nobody needs to compute fingerprints. */
    isWatching(nowMs: number): boolean;
    isPoisonous(fingerprint: number, nowMs: number): boolean;
}

/** Crashes with the same request running after which it counts as their cause; chance rarely does that twice. */
const crashesToQuarantine = 3;
/** Time in ms after which a mark is forgotten; callers send such a request again within their deadline of 15 s. */
const markLifetimeMs = 60_000;
/** Time in ms within which marks of one upstream are the same crash, heard from several VMs. */
const sameCrashMs = 1_500;
/** Requests that are remembered; beyond it the oldest are forgotten. */
const maxRemembered = 5_000;

interface Crash {
    readonly upstreamHash: number;
    readonly atMs: number;
}

export function createPoisonGuard(): PoisonGuard {
    const crashes = new Map<number, Crash[]>();
    let lastMarkMs = Number.NEGATIVE_INFINITY;

    const recent = (fingerprint: number, nowMs: number): Crash[] =>
        (crashes.get(fingerprint) ?? []).filter(({ atMs }) => nowMs - atMs <= markLifetimeMs);

    const isPoisonous = (fingerprint: number, nowMs: number): boolean =>
        recent(fingerprint, nowMs).length >= crashesToQuarantine;

    return {
        note({ fingerprint, upstreamHash }, nowMs) {
            lastMarkMs = nowMs;
            const known = recent(fingerprint, nowMs);
            const isKnown = known.some(crash =>
                crash.upstreamHash === upstreamHash && nowMs - crash.atMs <= sameCrashMs
            );
            const before = isPoisonous(fingerprint, nowMs);
            crashes.delete(fingerprint);
            crashes.set(fingerprint, isKnown ? known : [...known, { upstreamHash, atMs: nowMs }]);
            const oldest = crashes.keys().next().value;
            if (crashes.size > maxRemembered && oldest !== undefined) {
                crashes.delete(oldest);
            }
            return !before && isPoisonous(fingerprint, nowMs);
        },
        isWatching: nowMs => nowMs - lastMarkMs <= markLifetimeMs,
        isPoisonous,
    };
}
