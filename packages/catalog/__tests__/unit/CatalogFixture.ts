import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import { err, ok } from "neverthrow";
import * as catalog from "../../src/index.js";

const limits: catalog.EntryLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
    tokensPerS: undefined,
};

export const config = (version: number): catalog.CatalogChange => ({
    kind: "config",
    config: { version, routes: [], pools: [], customers: [], limits },
});

export const upstream = (id: string, more: Partial<catalog.Upstream> = {}): catalog.CatalogChange => ({
    kind: "upstream",
    upstream: {
        id: core.upstreamId(id),
        pool: core.poolId("pool"),
        host: "127.0.0.1",
        port: 1,
        zone: core.zoneId("z"),
        slots: 1,
        leaving: false,
        coldLeftMs: 0,
        softwareVersion: "v1",
        startedWallMs: undefined,
        sequence: undefined,
        ...more,
    },
});

/** A store in memory with faults that a test can set. */
export function createFakeSource(clock: core.Clock) {
    let items = new Map<string, catalog.PositionedChange>();
    let history: catalog.PositionedChange[] = [];
    const waiters = new Set<() => void>();
    let compactedUntil = 0;
    let mode: "up" | "down" | "unresponsive" = "up";
    let position: catalog.Position = { era: 1, revision: 10 };
    let watches = 0;
    let delayed: Promise<void> | undefined;
    const down = () => err({ kind: "unreachable" as const, message: "down" });

    const timeOut = async (timeoutMs: number) => {
        await new Promise<void>(resolve => clock.setTimer(timeoutMs, resolve));
        return down();
    };
    const undelayed: catalog.CatalogSource = {
        async list(timeoutMs) {
            return mode === "unresponsive"
                ? timeOut(timeoutMs)
                : mode === "down"
                ? down()
                : ok({ position, items: [...items.values()].map(asOfEra) });
        },
        async watch({ revision: after }, waitMs, timeoutMs) {
            watches++;
            const changesAfter = () => history.filter(change => change.position.revision > after);
            if (mode === "unresponsive") {
                return timeOut(timeoutMs);
            }
            if (mode === "up" && after >= compactedUntil && changesAfter().length === 0) {
                await new Promise<void>(resolve => {
                    const cancel = clock.setTimer(waitMs, resolve);
                    waiters.add(() => {
                        cancel();
                        resolve();
                    });
                });
            }
            if (mode !== "up") {
                return down();
            }
            return after < compactedUntil || after > position.revision
                ? err({ kind: "history-lost", message: "compacted" })
                : ok({ position, changes: changesAfter().map(asOfEra) });
        },
    };
    const source: catalog.CatalogSource = {
        list: undelayed.list,
        async watch(...parameters) {
            const delivery = delayed;
            delayed = undefined;
            const response = await undelayed.watch(...parameters);
            await delivery;
            return response;
        },
    };
    // A response states one era, also for entries that were written before the store was restored.
    const asOfEra = (change: catalog.PositionedChange): catalog.PositionedChange => ({
        ...change,
        position: { ...change.position, era: position.era },
    });
    const wake = (): void => {
        waiters.forEach(waiter => waiter());
        waiters.clear();
    };
    const write = (item: string, change: catalog.CatalogChange): catalog.PositionedChange => {
        position = { ...position, revision: position.revision + 1 };
        const written = { item, position, change };
        history.push(written);
        return written;
    };
    return {
        source,
        /** Number of watches started so far. */
        watches: (): number => watches,
        put(item: string, change: catalog.CatalogChange) {
            items.set(item, write(item, change));
            wake();
        },
        remove(item: string, change: catalog.CatalogChange) {
            items.delete(item);
            write(item, change);
            wake();
        },
        compact() {
            history = [];
            compactedUntil = position.revision;
            wake();
        },
        setMode(next: typeof mode) {
            mode = next;
            wake();
        },
        /** Holds the response to the next watch back until the returned function is called. */
        delayNextWatch(): () => void {
            let deliver = (): void => undefined;
            delayed = new Promise(resolve => deliver = resolve);
            return () => deliver();
        },
        /** Takes a copy of the store; returns a function that restores the store from it. */
        backUp(): () => void {
            const copy = { items: new Map(items), history: [...history], revision: position.revision };
            return () => {
                items = new Map(copy.items);
                history = [...copy.history];
                position = { era: position.era + 1, revision: copy.revision };
                wake();
            };
        },
    };
}

export function createFixture(chooseRelay?: catalog.CatalogFollowerOptions["chooseRelay"]) {
    const clock = testing.createVirtualClock();
    const store = createFakeSource(clock);
    const log = testing.createRecordingLog();
    const follower = catalog.createCatalogFollower({
        source: store.source,
        ...(chooseRelay ? { chooseRelay } : {}),
        clock,
        random: testing.createSeededRandom(1),
        log,
        metrics: testing.createNoopMetrics(),
    });
    const ids = (): string[] => [...follower.snapshot.read().upstreams.keys()].sort();
    const version = (): number | undefined => follower.snapshot.read().activeConfig?.config.version;
    return { clock, store, log, follower, ids, version, delayNextWatch: store.delayNextWatch };
}
