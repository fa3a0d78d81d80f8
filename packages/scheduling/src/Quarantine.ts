import * as core from "@peridotloft/core";
import * as constants from "./SchedulingConstants.js";

export interface SuspectReport {
    readonly fingerprint: string;
    readonly upstream: core.UpstreamId;
    /** Time in ms since the crash. */
    readonly ageMs: number;
}

/** Records which upstreams crashed on requests with which fingerprint. */
export interface Quarantine {
    /** Records a crash; returns whether it is a new one. */
    recordCrash(report: SuspectReport): boolean;
    isQuarantined(fingerprint: string): boolean;
    quarantined(): readonly string[];
    /** Takes up to `limit` reports for a gossip message. A report is sent several times before it is dropped. */
    takeReports(limit: number): readonly SuspectReport[];
}

export function createQuarantine(
    clock: core.Clock,
    minCrashedUpstreams = constants.quarantineUpstreams,
): Quarantine {
    const crashes = new Map<string, Map<core.UpstreamId, number>>();
    let pendingReports: { fingerprint: string; upstream: core.UpstreamId; crashedMs: number; sendsLeft: number; }[] =
        [];

    const expire = (): void => {
        const oldestMs = clock.nowMs() - constants.quarantineMs;
        crashes.forEach((upstreams, fingerprint) => {
            upstreams.forEach((crashedMs, upstream) => crashedMs < oldestMs && upstreams.delete(upstream));
            if (upstreams.size === 0) {
                crashes.delete(fingerprint);
            }
        });
        while (crashes.size > constants.maxSuspectFingerprints) {
            crashes.delete([...crashes.keys()][0] ?? "");
        }
    };

    const isQuarantined = (fingerprint: string): boolean => {
        const upstreams = [...(crashes.get(fingerprint)?.values() ?? [])];
        const oldestMs = clock.nowMs() - constants.quarantineMs;
        return upstreams.filter(crashedMs => crashedMs >= oldestMs).length >= minCrashedUpstreams;
    };

    return {
        recordCrash({ fingerprint, upstream, ageMs }) {
            const upstreams = crashes.get(fingerprint) ?? new Map<core.UpstreamId, number>();
            crashes.set(fingerprint, upstreams);
            const crashedMs = clock.nowMs() - ageMs;
            const known = upstreams.get(upstream);
            // A relayed report loses some ms of age at each hop, so only a much later time counts as a new crash.
            if (known !== undefined && crashedMs < known + constants.gossipRefreshPeriodMs) {
                return false;
            }
            upstreams.set(upstream, crashedMs);
            pendingReports.push({ fingerprint, upstream, crashedMs, sendsLeft: constants.gossipSendCount });
            expire();
            return true;
        },
        isQuarantined,
        quarantined: () => [...crashes.keys()].filter(isQuarantined),
        takeReports(limit) {
            const taken = pendingReports.slice(0, limit);
            taken.forEach(report => report.sendsLeft--);
            pendingReports = [...pendingReports.slice(limit), ...taken].filter(report => report.sendsLeft > 0);
            return taken.map(({ fingerprint, upstream, crashedMs }) => ({
                fingerprint,
                upstream,
                ageMs: Math.round(clock.nowMs() - crashedMs),
            }));
        },
    };
}
