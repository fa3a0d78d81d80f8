import * as demo from "@peridotloft/demo";
import * as keys from "@peridotloft/keys";
import * as assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { control, eventually, send } from "./TestClient.js";

interface Status {
    readonly ready: boolean;
    readonly document: { readonly version?: number; };
}

interface Executions {
    readonly executions: Record<string, number>;
}

const floodKey = "demo-key-flood";
const rateCostPerS = 20;
const burstCost = 40;
const floodMs = 4_000;

describe("a fleet whose configuration service or routers fail", () => {
    let fleet: demo.Fleet;
    let routers: demo.StartedProcess[];

    const statusOf = (router: demo.StartedProcess) => control<Status>(router.adminListen, "/status");
    const setMode = (mode: string, version?: number) =>
        control(fleet.platform.listen, "/admin/mode", "PUT", { mode, version });
    const restart = async (index: number): Promise<demo.StartedProcess> => {
        const killed = routers[index]!;
        killed.child.kill("SIGKILL");
        await killed.exited;
        const started = await fleet.startRouter(index);
        await demo.waitUntilReady(started);
        routers[index] = started;
        return started;
    };

    before(async () => {
        fleet = await demo.startFleet({
            zones: ["a", "b"],
            routers: 3,
            engines: 1,
            services: 1,
            awaitIdempotencyKeys: false,
            adjustDocument: document => ({
                ...document,
                customers: [...document.customers, { id: "flood", rateCostPerS, burstCost }],
                keys: [...document.keys ?? [], { id: "k3", customer: "flood", sha256: keys.hashKey(floodKey) }],
            }),
        });
        routers = [...fleet.routers];
        await fleet.publish(document => document);
        await eventually("every router has version 2", async () => {
            const statuses = await Promise.all(routers.map(statusOf));
            return statuses.every(({ document }) => document.version === 2);
        });
    });

    after(() => fleet?.stop());

    it("does not revert to an old version when a router restarts while the configuration service is stale", async () => {
        await setMode("stale", 1);
        const { ready, document } = await statusOf(await restart(1));
        assert.deepEqual([ready, document.version], [true, 2]);
        await setMode("up");
    });

    it("loads the document from peers when a router restarts while the configuration service is down", async () => {
        await setMode("down");
        const { ready, document } = await statusOf(await restart(2));
        assert.deepEqual([ready, document.version], [true, 2]);
        await setMode("up");
    });

    it("admits at most rate·t + burst over all routers, across a kill and a restart without state", async () => {
        const startMs = performance.now();
        const isOver = (): boolean => performance.now() - startMs > floodMs;
        let sent = 0;
        const flood = async (router: number): Promise<void> => {
            while (!isOver()) {
                const body = `flood-${sent++}`;
                // A router that is down refuses the connection; its callers keep retrying.
                await send(routers[router]!.listen, "/holds", { key: floodKey, body }).catch(() => undefined);
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        };
        const floods = [0, 1, 2].flatMap(router => [flood(router), flood(router)]);
        await restart(0);
        await Promise.all(floods);
        const elapsedS = (performance.now() - startMs) / 1_000;
        const { executions } = await control<Executions>(fleet.services[0]!.listen, "/admin/executions");
        const admitted = Object.keys(executions).filter(body => body.startsWith("flood-")).length;
        // Each request costs exactly 1, so the bound needs no allowance for settlement.
        assert.ok(admitted <= rateCostPerS * elapsedS + burstCost, `${admitted} of ${sent} in ${elapsedS} s`);
        assert.ok(sent > 3 * admitted, `${sent} sent, ${admitted} admitted: the load is too low`);
        assert.ok(admitted > rateCostPerS, `${admitted} admitted: the fleet served almost nothing`);
    });
});
