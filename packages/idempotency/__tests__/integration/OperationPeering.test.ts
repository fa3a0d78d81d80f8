import * as core from "@peridotloft/core";
import * as ownership from "@peridotloft/ownership";
import * as peering from "@peridotloft/peering";
import { ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { afterEach, describe, it } from "node:test";
import * as idempotency from "../../src/index.js";
import {
    makeDocument,
    makeRequest,
    north,
    responseOf,
    secret,
    summaryOf,
    ticketToken,
} from "../unit/OperationFixture.js";

const issuer = core.vmId("vm-0");
const entry = core.vmId("vm-1");
const largeResponse = "a".repeat(900_000);

/** Starts VMs with real connections on loopback. */
function createLoopbackFleet() {
    const clock = core.createSystemClock();
    const activeDocument = core.createSnapshotCell(makeDocument([issuer, entry], 2));
    const addresses = new Map<core.VmId, string>();
    const running = new Map<core.VmId, { store: idempotency.OperationStore; node: peering.PeerNode; }>();
    let runs = 0;

    const stop = async (self: core.VmId): Promise<void> => {
        const vm = running.get(self);
        running.delete(self);
        vm?.store.dispose();
        await vm?.node.dispose();
    };

    const start = async (self: core.VmId, incarnation: number): Promise<idempotency.OperationStore> => {
        const node = peering.createPeerNode({
            self,
            incarnation,
            listen: addresses.get(self) ?? "127.0.0.1:0",
            secret,
            addressOf: vm => addresses.get(vm),
            clock,
        });
        addresses.set(self, (await node.start())._unsafeUnwrap());
        const store = idempotency.createOperationStore({
            self,
            incarnation,
            clock,
            randomBytes,
            endpoint: node,
            ownership: ownership.createOwnership({ self, clock, document: activeDocument }),
            document: activeDocument,
            secret,
            execute: async () => {
                runs += 1;
                return ok(responseOf(`${runs} ${largeResponse}`));
            },
            maxStoredBytes: 8_000_000,
        });
        running.set(self, { store, node });
        return store;
    };
    return { start, stop, runs: () => runs, stopAll: () => Promise.all([...running.keys()].map(stop)) };
}

describe("OperationStore over real connections", () => {
    let fleet = createLoopbackFleet();

    afterEach(async () => {
        await fleet.stopAll();
        fleet = createLoopbackFleet();
    });

    it("delivers a large response completely to concurrent resends through both VMs", async () => {
        const [owner, other] = [await fleet.start(issuer, 1), await fleet.start(entry, 1)];
        const token = ticketToken(owner.issueTicket(north).ticket);
        const outcomes = await Promise.all(
            [other, owner, other].map(store => store.run(token, north, makeRequest("x"))),
        );
        assert.deepEqual(outcomes.map(summaryOf), Array(3).fill(`1 ${largeResponse}`));
        assert.equal(fleet.runs(), 1);
    });

    it("never runs the operation of a ticket again after its issuer was stopped and restarted", async () => {
        const [owner, other] = [await fleet.start(issuer, 1), await fleet.start(entry, 1)];
        const token = ticketToken(owner.issueTicket(north).ticket);
        await other.run(token, north, makeRequest("x"));
        await fleet.stop(issuer);
        assert.equal(
            summaryOf(await other.run(token, north, makeRequest("x"))),
            "may-have-run owner-unreachable 503",
        );
        await fleet.start(issuer, 2);
        assert.equal(
            summaryOf(await other.run(token, north, makeRequest("x"))),
            "may-have-run unknown-history 410",
        );
        assert.equal(fleet.runs(), 1);
    });
});
