import * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

export interface SuspectReport {
    readonly fingerprint: string;
    readonly upstream: core.UpstreamId;
    /** Time in ms since the crash. */
    readonly ageMs: number;
}

/** Remembers which fingerprints crashed which upstreams. */
export interface Quarantine {
    /** Notes a crash; true when it was not known. */
    note(report: SuspectReport): boolean;
    isQuarantined(fingerprint: string): boolean;
    quarantined(): readonly string[];
    /** Returns and clears reports that peers should learn, at most `limit` of them. */
    takeNews(limit: number): readonly SuspectReport[];
}

export function createQuarantine(
    clock: core.Clock,
    upstreamsNeeded = constants.quarantineUpstreams,
): Quarantine {
    const crashes = new Map<string, Map<core.UpstreamId, number>>();
    let news: { fingerprint: string; upstream: core.UpstreamId; crashedMs: number; repeats: number; }[] = [];

    const expire = (): void => {
        const oldestMs = clock.nowMs() - constants.quarantineMs;
        crashes.forEach((upstreams, fingerprint) => {
            upstreams.forEach((crashedMs, upstream) => crashedMs < oldestMs && upstreams.delete(upstream));
            if (upstreams.size === 0) {
                crashes.delete(fingerprint);
            }
        });
        while (crashes.size > constants.maxSuspects) {
            crashes.delete([...crashes.keys()][0] ?? "");
        }
    };

    const isQuarantined = (fingerprint: string): boolean => {
        const upstreams = [...(crashes.get(fingerprint)?.values() ?? [])];
        const oldestMs = clock.nowMs() - constants.quarantineMs;
        return upstreams.filter(crashedMs => crashedMs >= oldestMs).length >= upstreamsNeeded;
    };

    return {
        note({ fingerprint, upstream, ageMs }) {
            const upstreams = crashes.get(fingerprint) ?? new Map<core.UpstreamId, number>();
            crashes.set(fingerprint, upstreams);
            const crashedMs = clock.nowMs() - ageMs;
            const known = upstreams.get(upstream);
            // A relayed report loses some ms of age at each hop; only a new crash counts as news.
            if (known !== undefined && crashedMs < known + constants.gossipRefreshMs) {
                return false;
            }
            upstreams.set(upstream, crashedMs);
            news.push({ fingerprint, upstream, crashedMs, repeats: constants.gossipRepeats });
            expire();
            return true;
        },
        isQuarantined,
        quarantined: () => [...crashes.keys()].filter(isQuarantined),
        takeNews(limit) {
            const taken = news.slice(0, limit);
            taken.forEach(report => report.repeats--);
            news = [...news.slice(limit), ...taken].filter(report => report.repeats > 0);
            return taken.map(({ fingerprint, upstream, crashedMs }) => ({
                fingerprint,
                upstream,
                ageMs: Math.round(clock.nowMs() - crashedMs),
            }));
        },
    };
}
