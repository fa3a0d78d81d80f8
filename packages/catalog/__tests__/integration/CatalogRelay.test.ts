import * as core from "@peridotloft/core";
import * as testing from "@peridotloft/testing";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import * as http from "node:http";
import type * as net from "node:net";
import { afterEach, describe, it } from "node:test";
import * as catalog from "../../src/index.js";

const evacuated = (zone: string, revision: number): catalog.PositionedChange => ({
    item: `zone/${zone}`,
    position: { era: 0, revision },
    change: { kind: "zone-evacuated", zone: core.zoneId(zone) },
});

/** A store that can be made unreachable. */
function createSource() {
    const items: catalog.PositionedChange[] = [evacuated("a", 5)];
    const waiters = new Set<() => void>();
    let down = false;
    let calls = 0;
    const unreachable = () => err({ kind: "unreachable" as const, message: "down" });
    const position = (): catalog.Position => items.at(-1)?.position ?? catalog.initialPosition;
    const source: catalog.CatalogSource = {
        async list() {
            calls++;
            return down ? unreachable() : ok({ position: position(), items });
        },
        async watch(after, waitMs) {
            calls++;
            if (!down && !catalog.isAfter(position(), after)) {
                await new Promise<void>(resolve => {
                    setTimeout(resolve, waitMs);
                    waiters.add(resolve);
                });
            }
            return down
                ? unreachable()
                : ok({ position: position(), changes: items.filter(item => catalog.isAfter(item.position, after)) });
        },
    };
    return {
        source,
        calls: () => calls,
        setDown: (value: boolean): void => void (down = value),
        put(change: catalog.PositionedChange): void {
            items.push(change);
            waiters.forEach(wake => wake());
        },
    };
}

describe("CatalogRelay", () => {
    const cleanUps: (() => void)[] = [];
    afterEach(() => cleanUps.splice(0).forEach(cleanUp => cleanUp()));

    function startFollower(source: catalog.CatalogSource, chooseRelay?: () => catalog.CatalogRelaySource | undefined) {
        const follower = catalog.createCatalogFollower({
            source,
            ...(chooseRelay ? { chooseRelay } : {}),
            clock: core.createSystemClock(),
            random: testing.createSeededRandom(1),
            log: testing.createRecordingLog(),
            metrics: testing.createNoopMetrics(),
        });
        follower.start();
        cleanUps.push(() => follower.dispose());
        return follower;
    }

    async function startRelay(follower: catalog.CatalogFollower): Promise<catalog.CatalogRelaySource> {
        const server = catalog.createRelayServer(follower);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const agent = new http.Agent({ keepAlive: true });
        cleanUps.push(() => {
            agent.destroy();
            server.close();
            server.closeAllConnections();
        });
        return catalog.createRelaySource("127.0.0.1", (server.address() as net.AddressInfo).port, agent);
    }

    const zonesOf = (follower: catalog.CatalogFollower): string[] =>
        [...follower.snapshot.read().evacuatedZones].sort();
    const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

    it("relays all items first and then each change, without calls to the store", async () => {
        const store = createSource();
        const relay = await startRelay(startFollower(store.source));
        const localStore = createSource();
        const follower = startFollower(localStore.source, () => relay);
        await pause(200);
        assert.deepEqual(zonesOf(follower), ["a"]);
        store.put(evacuated("b", 6));
        await pause(100);
        assert.deepEqual(zonesOf(follower), ["a", "b"]);
        assert.equal(localStore.calls(), 0);
        await pause(2_000);
        assert.ok(follower.ageMs() < 3_300, `age ${follower.ageMs()}`);
    });

    it("reads the store itself when the other VM's catalog becomes too old", async () => {
        const store = createSource();
        const relay = await startRelay(startFollower(store.source));
        const localStore = createSource();
        const follower = startFollower(localStore.source, () => relay);
        await pause(200);
        store.setDown(true);
        await pause(3_500);
        assert.ok(localStore.calls() > 0);
        assert.ok(follower.ageMs() < 2_500, `age ${follower.ageMs()}`);
    });

    [undefined, { kind: "config" }, { kind: "upstream" }].forEach(change =>
        it(`reads the store after another build has relayed ${JSON.stringify(change)}, without an uncaught error`, async () => {
            const position = { era: 0, revision: 5 };
            const unusable = { item: "zone/a", position, change: change as catalog.CatalogChange };
            const relay: catalog.CatalogRelaySource = {
                address: "127.0.0.2",
                watch: async () => ok({ position, ageMs: 0, complete: true, changes: [unusable] }),
            };
            const follower = startFollower(createSource().source, () => relay);
            await pause(100);
            assert.deepEqual(zonesOf(follower), ["a"]);
        })
    );

    it("keeps a VM that cannot reach the store current through another VM that can", async () => {
        const store = createSource();
        const relay = await startRelay(startFollower(store.source));
        const localStore = createSource();
        let useRelay = false;
        const follower = startFollower(localStore.source, () => useRelay ? relay : undefined);
        await pause(100);
        localStore.setDown(true);
        useRelay = true;
        store.put(evacuated("b", 6));
        await pause(3_000);
        assert.deepEqual(zonesOf(follower), ["a", "b"]);
        assert.ok(follower.ageMs() < 3_300, `age ${follower.ageMs()}`);
        const calls = localStore.calls();
        localStore.setDown(false);
        await pause(1_500);
        assert.ok(localStore.calls() > calls, "the store is not retried while another VM relays");
    });
});
