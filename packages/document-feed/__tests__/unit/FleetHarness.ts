import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import * as membership from "@peridotloft/membership";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import * as platform from "../../src/index.js";

export interface FleetVm {
    readonly id: core.VmId;
    readonly clock: testing.PausableClock;
    readonly feed: platform.AddressingDocumentFeed;
    readonly gossip: membership.Membership;
    /** Sequence of active versions over all runs of the VM. */
    readonly history: number[];
    stop(): void;
}

export type OptionsChange = (id: core.VmId, options: platform.DocumentFeedOptions) => platform.DocumentFeedOptions;

/** Maximum times in ms until a version, and until a changed state or key, is active on all VMs. */
export const maxPropagationMs = 10_000;
export const maxStatePropagationMs = 5_000;

export interface FleetOptions {
    readonly size: number;
    readonly zones: number;
    readonly seed: number;
    readonly lossRatio?: number;
    /** Changes the options of each feed, so that a test can disable one rule. */
    readonly change?: OptionsChange;
}

export interface Fleet {
    readonly clock: testing.VirtualClock;
    readonly network: testing.VirtualNetwork;
    readonly platform: testing.FakePlatform;
    readonly ids: readonly core.VmId[];
    vm(index: number): FleetVm;
    runningVms(): readonly FleetVm[];
    /** Sequences of active versions, one for each run of a VM. */
    readonly runs: readonly (readonly number[])[];
    start(id: core.VmId): void;
    kill(id: core.VmId): void;
    restart(id: core.VmId): void;
    textOf(version: number): string;
    publish(version: number): void;
    versionOf(id: core.VmId): number;
    /** Advances until at least this version is active on all of `ids`; returns the elapsed ms, or undefined at the limit. */
    untilActive(version: number, limitMs: number, ids?: readonly core.VmId[]): Promise<number | undefined>;
}

const pollIntervalMs = 50;

export function createFleet(options: FleetOptions): Fleet {
    const { size, zones, seed } = options;
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(seed);
    const network = testing.createVirtualNetwork({ clock, random, lossRatio: options.lossRatio ?? 0 });
    const fakePlatform = testing.createFakePlatform(clock);
    const ids = Array.from({ length: size }, (_, index) => core.vmId(`vm-${index + 1}`));
    const vms = new Map<core.VmId, FleetVm>();
    const histories = new Map(ids.map(id => [id, [] as number[]]));
    const runs: number[][] = [];
    let incarnation = 1;

    const textOf = (version: number): string =>
        JSON.stringify({
            version,
            zones: Array.from({ length: zones }, (_, index) => ({ id: `zone-${index}`, region: "r" })),
            vms: ids.map((id, index) => ({
                id,
                zone: `zone-${index % zones}`,
                peerAddress: `127.0.0.1:${7_000 + index}`,
            })),
            customers: [{ id: "north", rateCostPerS: 10 + version, burstCost: 20 }],
            pools: [{
                id: "assistant",
                kind: "engine",
                upstreams: [{ id: "e1", zone: "zone-0", url: "http://127.0.0.1:8101", slots: 8, coldSlots: 1 }],
            }],
        });

    const start = (id: core.VmId): void => {
        const vmClock = testing.createPausableClock(clock);
        const endpoint = network.attach(id);
        const activeDocument = core.createSnapshotCell<documents.FleetDocument | undefined>(undefined);
        const shared = { self: id, clock: vmClock, random, endpoint };
        const gossip = membership.createMembership({ ...shared, incarnation: incarnation++, document: activeDocument });
        const feedOptions = {
            ...shared,
            membership: gossip,
            platformUrls: ["http://platform"],
            seedPeers: ids,
            httpGet: fakePlatform.httpGetOf(id),
        };
        const feed = platform.createDocumentFeed(options.change?.(id, feedOptions) ?? feedOptions);
        const history = histories.get(id)!;
        const run: number[] = [];
        runs.push(run);
        const subscription = feed.activeDocument.changes.subscribe(active => {
            activeDocument.update(() => active?.document);
            const versions = active ? [active.document.version] : [];
            history.push(...versions);
            run.push(...versions);
        });
        gossip.start();
        feed.start();
        const stop = (): void => {
            feed.dispose();
            gossip.dispose();
            subscription.unsubscribe();
        };
        vms.set(id, { id, clock: vmClock, feed, gossip, history, stop });
    };
    const kill = (id: core.VmId): void => {
        vms.get(id)?.stop();
        vms.delete(id);
        network.detach(id);
    };
    const versionOf = (id: core.VmId): number => vms.get(id)?.feed.activeDocument.read()?.document.version ?? 0;

    return {
        clock,
        network,
        platform: fakePlatform,
        ids,
        vm: index => vms.get(ids[index]!)!,
        runningVms: () => [...vms.values()],
        runs,
        start,
        kill,
        restart(id) {
            kill(id);
            start(id);
        },
        textOf,
        publish: version => fakePlatform.publish(version, textOf(version)),
        versionOf,
        async untilActive(version, limitMs, wanted = ids) {
            for (let elapsedMs = 0; elapsedMs <= limitMs; elapsedMs += pollIntervalMs) {
                if (wanted.every(id => versionOf(id) >= version)) {
                    return elapsedMs;
                }
                await clock.advance(pollIntervalMs);
            }
            return undefined;
        },
    };
}

/** Starts a fleet on version 1. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
    const fleet = createFleet(options);
    fleet.publish(1);
    fleet.ids.forEach(fleet.start);
    // With message loss, a round hardly ever gets responses from all VMs, so a new fleet may need the 30 s wait.
    const limitMs = options.lossRatio ? 40_000 : 10_000;
    assert.notEqual(await fleet.untilActive(1, limitMs), undefined, "the fleet does not become ready");
    await fleet.clock.advance(2_000);
    return fleet;
}

/** Checks the never-revert rule: over all runs of a VM, the active version never decreases. Returns the violations. */
export function findReverts(fleet: Fleet): string[] {
    return fleet.runningVms().flatMap(({ id, history }) =>
        history.some((version, index) => version < (history[index - 1] ?? 0)) ? [`${id}: ${history.join(", ")}`] : []
    );
}

/** Runs a test with each seed, or with the one in PERIDOTLOFT_SEED; a failure names the seed and the command. */
export async function withSeeds(seeds: readonly number[], body: (seed: number) => Promise<void>): Promise<void> {
    const chosen = process.env["PERIDOTLOFT_SEED"];
    for (const seed of chosen === undefined ? seeds : [Number(chosen)]) {
        try {
            await body(seed);
        }
        catch (error) {
            const command = `PERIDOTLOFT_SEED=${seed} node scripts/run-tests.mjs packages/document-feed`;
            throw new Error(`seed ${seed}, repeat with: ${command}`, { cause: error });
        }
    }
}
