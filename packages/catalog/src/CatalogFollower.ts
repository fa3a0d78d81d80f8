import * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import { initialPosition, isAfter, isSamePosition, type Position, type PositionedChange } from "./Catalog.js";
import { createCatalogItems } from "./CatalogItems.js";
import { applyChanges, type CatalogSnapshot, emptySnapshot } from "./CatalogSnapshot.js";
import type {
    CatalogRelaySource,
    CatalogSource,
    ChangeBatch,
    Listing,
    RelayedBatch,
    SourceError,
} from "./CatalogSource.js";
import { createChangeHistory } from "./ChangeHistory.js";
import { createWatchPacer } from "./WatchPacer.js";

export interface CatalogFollowerOptions {
    readonly source: CatalogSource;
    /**
     * Chooses another VM to read from instead of the store; undefined to read the store. Called before each read.
     *
     * @param isStoreUnreachable whether calls from this VM to the store fail.
     */
    readonly chooseRelay?: (isStoreUnreachable: boolean) => CatalogRelaySource | undefined;
    /** A clock that includes time during which the VM was suspended. */
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    readonly timing?: Partial<FollowerTiming>;
}

/** All values are in ms, except `historyLength` and `watchBurst`. */
export interface FollowerTiming {
    /** Longest wait of one watch of another VM. It adds to the age of this VM's catalog, so it is short. */
    readonly relayWaitMs: number;
    /** Maximum age of another VM's catalog for use instead of the store. */
    readonly maxRelayAgeMs: number;
    /** Time for which a VM is not used again after it failed to reply or its catalog was too old. */
    readonly relayRetryDelayMs: number;
    /** Interval at which a VM that cannot reach the store, and reads from another VM meanwhile, retries the store. */
    readonly storeRetryMs: number;
    /** Number of changes retained for other VMs. */
    readonly historyLength: number;
    /** Longest wait of one watch of the store. An empty response at its end confirms that nothing changed. */
    readonly watchWaitMs: number;
    /** Time beyond the wait after which a watch without a response times out and its connection is closed. */
    readonly timeoutSlackMs: number;
    /**
     * Mean interval between watches that return changes, once the burst is used up. Changes made in the meantime arrive
     * together.
     */
    readonly watchIntervalMs: number;
    /** Number of watches that may return changes in a burst. */
    readonly watchBurst: number;
    readonly listTimeoutMs: number;
    /** Time by which a watch may lag behind the store. */
    readonly watchLagMs: number;
    /**
     * Time for which removals are deferred after an outage of the store. Live upstreams register again within about 2 s.
     * The value is shorter than that by the time that a removal may take to reach this VM, since a removed upstream must
     * receive nothing after 2 s. An upstream that registers later is added again.
     */
    readonly reregistrationGraceMs: number;
    /** Shortest outage of the store in which entries of live upstreams can expire. */
    readonly minExpiryOutageMs: number;
    /**
     * Time after a restore of the store in which a returned entry may be one that has been removed since the copy was made.
     * The entry of an upstream that has ended expires in this time.
     */
    readonly restoreSettleMs: number;
    /** Timeout of reading the configuration of another VM; the store is not read meanwhile. */
    readonly catchUpTimeoutMs: number;
    readonly minBackoffMs: number;
    readonly maxBackoffMs: number;
    /** Timeout of `confirm`. */
    readonly confirmTimeoutMs: number;
    /** Time after a failed `confirm` in which no other calls the store, so that requests do not overload a failing store. */
    readonly confirmRetryDelayMs: number;
}

export const defaultFollowerTiming: FollowerTiming = {
    relayWaitMs: 400,
    // The wait of a watch, its lag, and a margin for the response.
    maxRelayAgeMs: 2_300,
    relayRetryDelayMs: 2_000,
    storeRetryMs: 1_000,
    historyLength: 500,
    // Bounds the age of the catalog while nothing changes: half of the 2 s within which changes must take effect.
    watchWaitMs: 1_000,
    timeoutSlackMs: 800,
    // An eighth of the 2 s within which a change must take effect; each call to the store has a cost.
    watchIntervalMs: 250,
    watchBurst: 5,
    listTimeoutMs: 2_000,
    // According to the platform, a watch may receive nothing for a second before its history is dropped.
    watchLagMs: 1_000,
    reregistrationGraceMs: 1_400,
    // An entry expires after three missed heartbeats of 1.2 s.
    minExpiryOutageMs: 2_000,
    // An entry expires within about 3.6 s, and removals take some time to reach this VM.
    restoreSettleMs: 4_000,
    catchUpTimeoutMs: 400,
    minBackoffMs: 60,
    maxBackoffMs: 500,
    confirmTimeoutMs: 400,
    confirmRetryDelayMs: 500,
};

/** Replicates the store: holds the latest snapshot and its age. */
export interface CatalogFollower {
    readonly snapshot: core.SnapshotCell<CatalogSnapshot>;
    /** Whether a complete listing has been read since the start. */
    isComplete(): boolean;
    /**
     * Age of the snapshot in ms: it may lack changes that were made within this time. Infinite before the first listing.
     */
    ageMs(): number;
    /** Confirms with the store that the snapshot is current; false if that fails. Concurrent calls share one request. */
    confirm(): Promise<boolean>;
    /** Waits up to `waitMs` for changes after `after`, on behalf of another VM; undefined before the first listing. */
    waitForChanges(after: Position, waitMs: number): Promise<RelayedBatch | undefined>;
    /** @param delayMs time in ms to wait before the first read, in which other VMs may be discovered. */
    start(delayMs?: number): void;
    dispose(): void;
}

/** Maximum number of other VMs that are asked for their catalog after the first listing and after a restore of the store. */
const maxCatchUpReads = 3;

export function createCatalogFollower(options: CatalogFollowerOptions): CatalogFollower {
    const { source, clock, random, log, metrics } = options;
    const timing = { ...defaultFollowerTiming, ...options.timing };
    const snapshot = core.createSnapshotCell<CatalogSnapshot>(emptySnapshot);
    const items = createCatalogItems();
    const cancels = new Set<() => void>();
    const waiters = new Set<() => void>();
    const deferredRemovals = new Set<readonly PositionedChange[]>();
    const relayRetryAtMs = new Map<string, number>();
    const history = createChangeHistory(timing.historyLength);
    const watchPacer = createWatchPacer(timing.watchIntervalMs, timing.watchBurst, clock.nowMs());
    let position: Position | undefined;
    /** The latest known era of the store; undefined before the first listing. */
    let era: number | undefined;
    /** Time in ms from which entries of the current era are no longer remnants of the copy. */
    let settledAtMs = Number.NEGATIVE_INFINITY;
    let isRelistDue = false;
    let catchUpReads = 0;
    let lastStoreCallMs = Number.NEGATIVE_INFINITY;
    let confirmedMs = Number.NEGATIVE_INFINITY;
    let storeFailingSinceMs: number | undefined;
    let deferRemovalsUntilMs = Number.NEGATIVE_INFINITY;
    let failures = 0;
    let pendingConfirm: Promise<boolean> | undefined;
    let lastFailedConfirmMs = Number.NEGATIVE_INFINITY;
    let disposed = false;

    const isSettled = (): boolean => clock.nowMs() >= settledAtMs;

    function apply(changes: readonly PositionedChange[]): void {
        const selected = items.select(changes, isSettled());
        const newChanges = selected.changes;
        if (newChanges.length === 0) {
            return;
        }
        snapshot.update(current => applyChanges(current, newChanges, clock.nowMs()));
        selected.record();
        newChanges.forEach(logChange);
        history.append(newChanges);
        waiters.forEach(wake => wake());
    }

    function logChange({ item, position: at, change }: PositionedChange): void {
        metrics.count("catalogChanges", { kind: change.kind });
        switch (change.kind) {
            case "config":
                return log.state("config-adopted", { ...at, version: change.config.version });
            case "upstream": {
                const { id, leaving, softwareVersion, coldLeftMs, zone } = change.upstream;
                return log.state("upstream-registered", {
                    ...at,
                    upstream: id,
                    zone,
                    leaving,
                    softwareVersion,
                    coldLeftMs,
                });
            }
            case "unreadable":
                return log.state("item-unreadable", { ...at, item, reason: change.reason });
            default:
                return log.state(change.kind, { ...at, item });
        }
    }

    // Live upstreams whose entries expired during an outage register again, so removals are deferred for that time.
    function applyRemovals(changes: readonly PositionedChange[]): void {
        const waitMs = deferRemovalsUntilMs - clock.nowMs();
        if (waitMs <= 0 || changes.length === 0) {
            apply(changes);
            return;
        }
        log.state("removals-deferred", { count: changes.length, waitMs });
        deferredRemovals.add(changes);
        const cancel = clock.setTimer(waitMs, () => {
            cancels.delete(cancel);
            deferredRemovals.delete(changes);
            apply(changes);
        });
        cancels.add(cancel);
    }

    /**
     * Adopts the era of a listing. What the store lost with a restore is written again, and until then this VM keeps what it
     * knows.
     */
    function adoptEra(listed: Position): void {
        if (era !== undefined && listed.era > era) {
            settledAtMs = clock.nowMs() + timing.restoreSettleMs;
            isRelistDue = true;
            deferRemovalsUntilMs = Math.max(deferRemovalsUntilMs, clock.nowMs() + timing.reregistrationGraceMs);
            metrics.count("storeRestores");
            log.state("store-restored", { ...listed, previousEra: era, settleMs: timing.restoreSettleMs });
        }
        era = listed.era;
    }

    /** Whether a response is of an earlier era: it was delayed, or another VM does not know of a restore yet. */
    const isOutdated = (read: Position): boolean => era !== undefined && read.era < era;

    function advanceTo(read: Position): void {
        position = position && isAfter(position, read) ? position : read;
    }

    function applyListing(listing: Listing): void {
        adoptEra(listing.position);
        apply(listing.items);
        const missing = items.missingFrom(listing.items, listing.position);
        // An evacuation does not expire, so it is kept until the listing after which the entries of the era count.
        applyRemovals(isSettled() ? missing : missing.filter(({ change }) => change.kind === "upstream-removed"));
        advanceTo(listing.position);
        waiters.forEach(wake => wake());
        history.restart(listing.position);
    }

    function applyBatch(batch: ChangeBatch): void {
        const isRemoval = ({ change }: PositionedChange): boolean => change.kind === "upstream-removed";
        apply(batch.changes.filter(change => !isRemoval(change)));
        applyRemovals(batch.changes.filter(isRemoval));
        advanceTo(batch.position);
    }

    function recordStoreSuccess(completeUntilMs: number): void {
        confirmedMs = Math.max(confirmedMs, completeUntilMs);
        failures = 0;
        if (storeFailingSinceMs === undefined) {
            return;
        }
        const outageMs = clock.nowMs() - storeFailingSinceMs;
        storeFailingSinceMs = undefined;
        if (outageMs >= timing.minExpiryOutageMs) {
            deferRemovalsUntilMs = clock.nowMs() + timing.reregistrationGraceMs;
        }
        log.state("store-regained", { outageMs });
    }

    function recordStoreFailure(call: string, error: SourceError): void {
        failures++;
        metrics.count("storeCalls", { outcome: error.kind });
        if (storeFailingSinceMs === undefined) {
            storeFailingSinceMs = clock.nowMs();
            log.state("store-lost", { call, kind: error.kind, message: error.message, ...position });
        }
    }

    async function list(): Promise<boolean> {
        const sentMs = clock.nowMs();
        const result = await source.list(timing.listTimeoutMs);
        if (disposed) {
            return false;
        }
        return result.match(listing => {
            if (isOutdated(listing.position)) {
                recordStoreFailure("list", outdatedError(listing.position));
                return false;
            }
            metrics.count("storeCalls", { outcome: "ok" });
            recordStoreSuccess(sentMs);
            catchUpReads = listing.position.era === era ? catchUpReads : maxCatchUpReads;
            applyListing(listing);
            log.state("catalog-listed", { items: listing.items.length, ...listing.position });
            return true;
        }, error => {
            recordStoreFailure("list", error);
            return false;
        });
    }

    async function watch(after: Position, waitMs: number, timeoutMs: number): Promise<boolean> {
        const result = await source.watch(after, waitMs, timeoutMs);
        if (disposed) {
            return false;
        }
        return result.match(batch => {
            if (isOutdated(batch.position)) {
                recordStoreFailure("watch", outdatedError(batch.position));
                return false;
            }
            metrics.count("storeCalls", { outcome: "ok" });
            if (batch.position.era !== after.era) {
                relist(after, `era ${batch.position.era}`);
                return true;
            }
            recordStoreSuccess(clock.nowMs() - timing.watchLagMs);
            applyBatch(batch);
            return true;
        }, error => {
            if (error.kind === "history-lost") {
                relist(after, "compacted");
                return true;
            }
            recordStoreFailure("watch", error);
            return false;
        });
    }

    // The other items of a VM may be outdated, and the removals that it lacks would not be read again.
    function applyConfigs({ changes }: ChangeBatch): void {
        apply(changes.filter(({ change }) => change.kind === "config"));
    }

    const outdatedError = (read: Position): SourceError => ({
        kind: "outdated",
        message: `response of era ${read.era} after one of era ${era ?? 0}`,
    });

    /** Discards the position, so that the next read is a listing, unless another response has replaced it already. */
    function relist(after: Position, reason: string): void {
        log.state("history-lost", { ...after, reason });
        if (isSamePosition(position, after)) {
            position = undefined;
        }
    }

    /** Reads the configuration of another VM, which may be newer than that of a store that was restored from a copy. */
    async function catchUp(peer: CatalogRelaySource): Promise<void> {
        catchUpReads--;
        const result = await peer.watch(initialPosition, 0, timing.catchUpTimeoutMs);
        if (disposed) {
            return;
        }
        result.match(batch => {
            if (applyRelayed(peer, () => applyConfigs(batch))) {
                catchUpReads = batch.changes.length > 0 ? 0 : catchUpReads;
            }
        }, error => {
            log.state("relay-lost", { peer: peer.address, reason: error.message });
        });
    }

    /** Stops reading from another VM for a time. */
    function rejectRelay(relay: CatalogRelaySource, reason: string | undefined): void {
        relayRetryAtMs.set(relay.address, clock.nowMs() + timing.relayRetryDelayMs);
        log.state("relay-lost", { peer: relay.address, reason });
    }

    /** Applies changes of another VM; false if they cannot be used, since that VM runs another build. */
    function applyRelayed(relay: CatalogRelaySource, applyAll: () => void): boolean {
        try {
            applyAll();
            return true;
        }
        catch (error) {
            rejectRelay(relay, `changes that cannot be used: ${String(error)}`);
            return false;
        }
    }

    /** Reads from another VM; false if that VM cannot replace the store now. */
    async function readFromRelay(relay: CatalogRelaySource): Promise<boolean> {
        const sentMs = clock.nowMs();
        const timeoutMs = timing.relayWaitMs + timing.timeoutSlackMs;
        const result = await relay.watch(position ?? initialPosition, timing.relayWaitMs, timeoutMs);
        if (disposed) {
            return false;
        }
        const failure = result.match(
            batch => batch.ageMs > timing.maxRelayAgeMs ? `catalog is ${batch.ageMs} ms old` : undefined,
            error => error.message,
        );
        if (result.isErr() || failure !== undefined) {
            rejectRelay(relay, failure);
            return false;
        }
        const batch = result.value;
        if (isOutdated(batch.position)) {
            if (applyRelayed(relay, () => applyConfigs(batch))) {
                rejectRelay(relay, outdatedError(batch.position).message);
            }
            return false;
        }
        const isApplied = applyRelayed(
            relay,
            () =>
                batch.complete
                    ? applyListing({ position: batch.position, items: batch.changes })
                    : applyBatch(batch),
        );
        if (isApplied) {
            // The reply was made after the request was sent, so counting its age from the send time cannot understate it.
            confirmedMs = Math.max(confirmedMs, sentMs - batch.ageMs);
        }
        return isApplied;
    }

    function usableRelay(): CatalogRelaySource | undefined {
        const isStoreUnreachable = storeFailingSinceMs !== undefined;
        // Retries the store from time to time while another VM replaces it.
        if (isStoreUnreachable && clock.nowMs() - lastStoreCallMs >= timing.storeRetryMs) {
            return undefined;
        }
        const relay = options.chooseRelay?.(isStoreUnreachable);
        const retryAtMs = relay && relayRetryAtMs.get(relay.address);
        return retryAtMs !== undefined && clock.nowMs() < retryAtMs ? undefined : relay;
    }

    async function follow(): Promise<void> {
        while (!disposed) {
            const peer = catchUpReads > 0 ? options.chooseRelay?.(true) : undefined;
            if (peer) {
                await catchUp(peer);
            }
            if (isRelistDue && isSettled()) {
                isRelistDue = false;
                position = undefined;
            }
            const relay = usableRelay();
            if (relay && await readFromRelay(relay)) {
                continue;
            }
            lastStoreCallMs = clock.nowMs();
            const before = position;
            const succeeded = before === undefined
                ? await list()
                : await watch(before, timing.watchWaitMs, timing.watchWaitMs + timing.timeoutSlackMs);
            if (disposed) {
                return;
            }
            if (!succeeded) {
                await backOff();
            }
            else if (!isSamePosition(position, before)) {
                const waitMs = watchPacer.recordWatch(clock.nowMs());
                if (waitMs > 0) {
                    await delay(waitMs);
                }
            }
        }
    }

    // Another VM requests only changes after the position that it received, so this position stays below those of deferred
    // removals, which are yet to be relayed.
    function relayedPosition(known: Position): Position {
        const deferredRevisions = [...deferredRemovals].flat()
            .flatMap(({ position: at }) => at.era === known.era ? [at.revision - 1] : []);
        return { era: known.era, revision: Math.min(known.revision, ...deferredRevisions) };
    }

    function backOff(): Promise<void> {
        const limitMs = Math.min(timing.maxBackoffMs, timing.minBackoffMs * 2 ** Math.min(failures, 10));
        return delay(limitMs * (0.5 + random() / 2));
    }

    function delay(ms: number): Promise<void> {
        return new Promise(resolve => {
            const cancel = clock.setTimer(ms, () => {
                cancels.delete(cancel);
                resolve();
            });
            cancels.add(cancel);
        });
    }

    return {
        snapshot,
        isComplete: () => Number.isFinite(confirmedMs),
        ageMs: () => clock.nowMs() - confirmedMs,
        confirm() {
            if (position === undefined || clock.nowMs() - lastFailedConfirmMs < timing.confirmRetryDelayMs) {
                return Promise.resolve(false);
            }
            pendingConfirm ??= watch(position, 0, timing.confirmTimeoutMs).then(confirmed => {
                pendingConfirm = undefined;
                lastFailedConfirmMs = confirmed ? lastFailedConfirmMs : clock.nowMs();
                return confirmed;
            });
            return pendingConfirm;
        },
        async waitForChanges(after, waitMs) {
            // Waits for changes, or for the first listing if none has been read yet.
            if (position === undefined || (position.era === after.era && position.revision <= after.revision)) {
                await new Promise<void>(resolve => {
                    const cancel = clock.setTimer(waitMs, () => wake());
                    const wake = (): void => {
                        cancel();
                        waiters.delete(wake);
                        resolve();
                    };
                    waiters.add(wake);
                });
            }
            if (position === undefined) {
                return undefined;
            }
            const changes = history.changesAfter(after);
            return {
                position: relayedPosition(position),
                ageMs: clock.nowMs() - confirmedMs,
                complete: changes === undefined,
                changes: changes ?? items.all(),
            };
        },
        start: (delayMs = 0) => void delay(delayMs).then(follow),
        dispose() {
            disposed = true;
            cancels.forEach(cancel => cancel());
        },
    };
}
