import type { CrashMark } from "@peridotloft/fleet";

/** Detects requests that crash the upstreams that run them, so that they are quarantined instead of retried. */
export interface PoisonGuard {
    /** Records that a request was in flight at an upstream that crashed; returns true if this quarantines the request. */
    record(mark: CrashMark, nowMs: number): boolean;
    /** Whether any crash mark is recent; if none is, fingerprints need not be computed. */
    hasRecentMarks(nowMs: number): boolean;
    isPoisonous(fingerprint: number, nowMs: number): boolean;
}

/** Crashes after which a request in flight at all of them counts as their cause; even two by coincidence are rare. */
const crashesToQuarantine = 3;
/** Time in ms after which a mark expires; callers retry such a request within their deadline of 15 s. */
const markLifetimeMs = 60_000;
/** Time in ms within which marks for one upstream are the same crash, reported by several VMs. */
const sameCrashMs = 1_500;
/** Maximum number of fingerprints held; beyond it the oldest is evicted. */
const maxFingerprints = 5_000;

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
        record({ fingerprint, upstreamHash }, nowMs) {
            lastMarkMs = nowMs;
            const recentCrashes = recent(fingerprint, nowMs);
            const isDuplicate = recentCrashes.some(crash =>
                crash.upstreamHash === upstreamHash && nowMs - crash.atMs <= sameCrashMs
            );
            const wasPoisonous = isPoisonous(fingerprint, nowMs);
            crashes.delete(fingerprint);
            crashes.set(fingerprint, isDuplicate ? recentCrashes : [...recentCrashes, { upstreamHash, atMs: nowMs }]);
            const oldest = crashes.keys().next().value;
            if (crashes.size > maxFingerprints && oldest !== undefined) {
                crashes.delete(oldest);
            }
            return !wasPoisonous && isPoisonous(fingerprint, nowMs);
        },
        hasRecentMarks: nowMs => nowMs - lastMarkMs <= markLifetimeMs,
        isPoisonous,
    };
}
