import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type * as fleets from "@peridotloft/fleet";
import type * as telemetry from "@peridotloft/telemetry";
import { err, ok, type Result } from "neverthrow";
import type { FleetView } from "./FleetView.js";
import type { DispatchRefusal } from "./Job.js";
import {
    createOriginHistory,
    maxCatalogAgeMs,
    originHashOf,
    poolHashOf,
    type SeenOrigins,
    type StreamOrigin,
} from "./OriginHistory.js";
import { createRoutePools } from "./RoutePools.js";

export interface StreamOriginsOptions {
    readonly clock: core.Clock;
    readonly catalog: core.SnapshotCell<catalog.CatalogSnapshot>;
    /** Age of the catalog in ms: it may lack changes that were made within this time. */
    catalogAgeMs(): number;
    readonly fleet: FleetView;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
}

/** A stream that a caller resumes. */
export interface ResumedStream {
    readonly requestId: core.RequestId;
    /** Undefined if the caller does not state which attempt began it. */
    readonly streamKey: bigint | undefined;
    readonly route: catalog.Route;
    /** The caller's attempt that received the first event; undefined if it is not stated. */
    readonly resumes: core.RequestId | undefined;
    readonly lastEventId: string;
}

/**
 * By which software version streams were begun. What two versions write does not fit together, so a stream that breaks off goes
 * on only at an upstream of the version that began it, at whichever VM its caller resumes it.
 */
export interface StreamOrigins {
    /** The origin of streams that an upstream begins now. Its version is undefined while this VM's catalog is too old. */
    originOf(upstream: catalog.Upstream): StreamOrigin;
    /** Records the origin of a new stream that has had its first event. */
    recordBegun(streamKey: bigint, origin: StreamOrigin, route: catalog.Route): void;
    /** Whether this VM knows the versions of the upstreams, so that it may choose one for a stream that goes on. */
    mayContinue(): boolean;
    /** Finds the origin of a stream; refuses if it cannot be known. The request has not run then. */
    find(stream: ResumedStream): Promise<Result<StreamOrigin, DispatchRefusal>>;
    dispose(): void;
}

/** Time in ms for which the origin of a stream is kept; longer than the timeouts of streams. */
const retentionMs = 60_000;
const maxRecords = 20_000;
/** Maximum number of versions that an answer or a log line names. */
const maxNamedOrigins = 4;
const streamKeySeed = 0x2f0e1a5b;
/** Stands for a stream whose caller does not state which attempt began it; nothing is recorded for it. */
const unstatedStream = 0n;

interface OriginRecord {
    readonly originHash: number;
    readonly atMs: number;
    /** Time in ms until which it is announced when another origin becomes possible. */
    announceUntilMs: number;
}

/** Identifies a stream by its caller's first attempt, the customer and the path, the same at each VM. */
export function streamKeyOf(
    firstAttempt: core.RequestId,
    customer: core.CustomerId | undefined,
    path: string,
): bigint {
    const text = `${firstAttempt} ${customer ?? ""} ${path}`;
    return (BigInt(core.hash32(text)) << 32n) | BigInt(core.hash32(text, streamKeySeed));
}

export function createStreamOrigins(options: StreamOriginsOptions): StreamOrigins {
    const { clock, fleet, log, metrics } = options;
    const records = new Map<bigint, OriginRecord>();
    const history = createOriginHistory({ ...options, onAdded: announceUnannounced });
    const routePools = createRoutePools(options.catalog, clock, announceUnannounced);
    const removeHolder = fleet.registerStreamOriginHolder({
        record: received =>
            received.forEach(({ streamKey, originHash }) =>
                keep(streamKey, { originHash, announceUntilMs: Number.NEGATIVE_INFINITY })
            ),
        answer({ streamKey, poolHashes, ageMs }) {
            const { origins, isComplete } = history.within(poolHashes, ageMs);
            return { recorded: recordOf(streamKey), seen: [...origins.keys()].slice(0, maxNamedOrigins), isComplete };
        },
    });

    // The first record of a stream counts: a stream begins once.
    function keep(streamKey: bigint, record: Omit<OriginRecord, "atMs">): void {
        if (recordOf(streamKey) !== undefined) {
            return;
        }
        records.delete(streamKey);
        records.set(streamKey, { ...record, atMs: clock.nowMs() });
        core.evictOldest(records, maxRecords);
        // Records are in the order of their age.
        for (const [oldestKey, { atMs }] of records) {
            if (clock.nowMs() - atMs <= retentionMs) {
                break;
            }
            records.delete(oldestKey);
        }
    }

    function recordOf(streamKey: bigint): number | undefined {
        const record = records.get(streamKey);
        return record && clock.nowMs() - record.atMs <= retentionMs ? record.originHash : undefined;
    }

    /** Announces the streams that began while their version was the only possible one. */
    function announceUnannounced(): void {
        const nowMs = clock.nowMs();
        const unannounced = [...records].filter(([, { announceUntilMs }]) => announceUntilMs >= nowMs);
        unannounced.forEach(([, record]) => record.announceUntilMs = Number.NEGATIVE_INFINITY);
        fleet.announceStreamOrigins(unannounced.map(([streamKey, { originHash }]) => ({ streamKey, originHash })));
    }

    const possiblePoolHashes = (route: catalog.Route): readonly number[] =>
        routePools.within(route.id, maxAgeMs(route)).map(poolHashOf);

    const seenOrigins = (route: catalog.Route): SeenOrigins =>
        history.within(possiblePoolHashes(route), maxAgeMs(route));

    /** The origin that follows from what this VM and others have seen: the only one that was possible. */
    function onlyPossible(seen: SeenOrigins, answers: readonly fleets.StreamOriginAnswer[]): number | undefined {
        if (answers.length === 0 && fleet.vmCount() > 1) {
            return undefined;
        }
        const hashes = new Set([...seen.origins.keys(), ...answers.flatMap(answer => answer.seen)]);
        const isComplete = seen.isComplete || answers.some(answer => answer.isComplete);
        const [only] = hashes;
        return isComplete && hashes.size === 1 ? only : undefined;
    }

    const isFollowed = (): boolean => options.catalogAgeMs() <= maxCatalogAgeMs;

    return {
        mayContinue: isFollowed,
        originOf: ({ pool, softwareVersion }) => ({
            pool,
            softwareVersion: isFollowed() ? softwareVersion : undefined,
            isRecorded: true,
        }),
        recordBegun(streamKey, origin, route) {
            if (origin.softwareVersion === undefined) {
                return;
            }
            const { origins, isComplete } = seenOrigins(route);
            const isOnlyPossible = isComplete && origins.size === 1;
            const record = { streamKey, originHash: originHashOf(origin) };
            const announceUntilMs = isOnlyPossible ? clock.nowMs() + maxAgeMs(route) : Number.NEGATIVE_INFINITY;
            keep(streamKey, { originHash: record.originHash, announceUntilMs });
            if (!isOnlyPossible) {
                fleet.announceStreamOrigins([record]);
            }
        },
        async find({ requestId, streamKey, route, resumes, lastEventId }) {
            const local = streamKey === undefined ? undefined : recordOf(streamKey);
            const answers = local === undefined
                ? await fleet.askStreamOrigin({
                    streamKey: streamKey ?? unstatedStream,
                    poolHashes: possiblePoolHashes(route),
                    ageMs: maxAgeMs(route),
                })
                : [];
            const recorded = local ?? answers.find(answer => answer.recorded !== undefined)?.recorded;
            const seen = seenOrigins(route);
            const originHash = recorded ?? onlyPossible(seen, answers);
            const known = originHash === undefined ? undefined : seen.origins.get(originHash);
            // The configuration may have moved the route to other pools since.
            const origin = route.targets.some(({ pool }) => pool === known?.pool) ? known : undefined;
            const source = local !== undefined
                ? "own"
                : recorded !== undefined
                ? "peer"
                : originHash === undefined
                ? "unknown"
                : "only-version";
            metrics.count("streamsResumed", { source });
            const fields = {
                requestId,
                resumes,
                lastEventId,
                source,
                softwareVersion: origin?.softwareVersion,
                seen: [...seen.origins.values()].slice(0, maxNamedOrigins)
                    .map(({ softwareVersion }) => softwareVersion ?? "").join(),
                isComplete: seen.isComplete,
                answers: answers.length,
            };
            if (origin?.softwareVersion === undefined) {
                log.failure("stream-origin-unknown", fields);
                return err({
                    reason: originHash === undefined ? "origin-unknown" : "origin-removed",
                    retryAfterMs: undefined,
                });
            }
            log.decision("stream-resumed", fields);
            return ok({ ...origin, isRecorded: recorded !== undefined });
        },
        dispose() {
            removeHolder();
            history.dispose();
            routePools.dispose();
        },
    };
}

/** Longest time in ms since the first event of a stream that a caller still resumes. */
function maxAgeMs({ timeoutMs }: catalog.Route): number {
    return timeoutMs + maxCatalogAgeMs;
}
