import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import * as net from "node:net";
import { beforeEach, describe, it } from "node:test";
import { createConnectionAccounts } from "../../src/ConnectionAccounts.js";
import {
    type BudgetedConnection,
    type ConnectionBudget,
    type ConnectionHolding,
    createConnectionBudget,
    idleConnectionBytes,
    openRequestBytes,
} from "../../src/ConnectionBudget.js";

const oneRequestBytes = idleConnectionBytes + openRequestBytes;
const maxBytes = 10 * oneRequestBytes;
const maxConnections = 20;
const maxOpenRequests = 8;
const placesFor = (name: string): number => name === "probe" ? maxConnections + 1 : maxConnections;

describe("ConnectionBudget", () => {
    let clock: testing.VirtualClock;
    let budget: ConnectionBudget;
    let ended: string[];
    beforeEach(() => {
        clock = testing.createVirtualClock();
        budget = createConnectionBudget({ clock, maxBytes });
        ended = [];
    });

    function open(name: string, changes: Partial<ConnectionHolding> = {}) {
        let holding = {
            openRequests: 0,
            bufferedBytes: 0,
            bodyBytes: 0,
            awaitsClient: false,
            progressMs: clock.nowMs(),
            ...changes,
        };
        const connection: BudgetedConnection = {
            maxOpenRequests,
            maxConnections: placesFor(name),
            readHolding: () => holding,
            end: ({ bound }) => ended.push(`${name}: ${bound}`),
        };
        budget.add(connection);
        return {
            connection,
            change(next: Partial<ConnectionHolding>): void {
                holding = { ...holding, ...next };
                budget.update(connection);
            },
        };
    }

    const openMany = (name: string, count: number, changes: Partial<ConnectionHolding> = {}) =>
        Array.from({ length: count }, (_, index) => open(`${name}-${index}`, changes));

    describe("for one connection", () => {
        it("ends one that sends too many requests ahead, and no other", () => {
            openMany("ordinary", 3, { openRequests: 1 });
            const ahead = open("ahead");
            ahead.change({ openRequests: maxOpenRequests });
            assert.deepEqual(ended, []);
            ahead.change({ openRequests: maxOpenRequests + 1 });
            assert.deepEqual(ended, ["ahead: open-requests"]);
            assert.equal(budget.heldBytes(), 3 * oneRequestBytes);
        });
    });

    describe("when connections hold too much together", () => {
        it("ends those that hold most first, until the others are within the bound", () => {
            open("three", { openRequests: 3 });
            open("four", { openRequests: 4 });
            openMany("ordinary", 4, { openRequests: 1 });
            assert.deepEqual(ended, ["four: process-memory"]);
            assert.ok(budget.heldBytes() <= maxBytes);
        });

        it("ends those first that made no progress for longer, of those that hold the same", async () => {
            open("older", { openRequests: 4 });
            await clock.advance(500);
            open("newer", { openRequests: 4 });
            openMany("ordinary", 4, { openRequests: 1 });
            assert.deepEqual(ended, ["older: process-memory"]);
        });

        it("counts bodies in the order of ending, but not in the bound", async () => {
            const [small] = openMany("upload", 2, { openRequests: 1, awaitsClient: true, bodyBytes: 1_000 });
            open("large", { openRequests: 1, awaitsClient: true, bodyBytes: 100 * maxBytes });
            assert.equal(budget.heldBytes(), 3 * oneRequestBytes);
            await clock.advance(1_000);
            small?.change({ progressMs: clock.nowMs() });
            openMany("ordinary", 8, { openRequests: 1 });
            assert.deepEqual(ended, ["large: process-memory"]);
        });

        it("does not end ordinary connections, whose only request is served or still arrives", () => {
            openMany("served", 10, { openRequests: 1 });
            openMany("arriving", 5, { openRequests: 1, awaitsClient: true });
            assert.deepEqual(ended, []);
            assert.equal(budget.heldBytes(), 15 * oneRequestBytes);
        });

        it("ends those again that hold something when time has passed", async () => {
            openMany("served", 10, { openRequests: 1 });
            open("stalled", { openRequests: 1, awaitsClient: true });
            await clock.advance(1_000);
            budget.updateAll();
            assert.deepEqual(ended, ["stalled: process-memory"]);
        });
    });

    describe("when there are too many connections", () => {
        it("ends the one that is idle for longest for a new one", async () => {
            open("first");
            await clock.advance(10);
            openMany("idle", maxConnections, {});
            assert.deepEqual(ended, ["first: connections"]);
            assert.equal(budget.connectionCount(), maxConnections);
        });

        it("ends the new one when all others are served, unless it has a place of its own", () => {
            openMany("served", maxConnections, { openRequests: 1 });
            open("new");
            open("probe");
            assert.deepEqual(ended, ["new: connections"]);
        });
    });

    it("counts nothing for a connection that has closed", () => {
        const { connection, change } = open("closed", { openRequests: 2 });
        budget.remove(connection);
        change({ openRequests: 20 });
        assert.deepEqual([budget.heldBytes(), budget.connectionCount(), ended], [0, 0, []]);
    });
});

describe("Accounts of relayed connections", () => {
    it("do not end one that awaits its answer for one that is idle", async () => {
        const clock = testing.createVirtualClock();
        const accounts = createConnectionAccounts({
            clock,
            log: testing.createRecordingLog(),
            metrics: testing.createNoopMetrics(),
            maxBytes: 100 * oneRequestBytes,
            maxConnections: 4,
        });
        const ended: string[] = [];
        const open = (name: string, bytesRead: number): net.Socket => {
            const socket = Object.defineProperty(new net.Socket(), "bytesRead", { value: bytesRead });
            socket.on("close", () => ended.push(name));
            accounts.open(socket, "entry");
            return socket;
        };
        accounts.recordRelayed(open("awaited", 400), () => true);
        accounts.recordRelayed(open("idle", 400), () => false);
        await clock.advance(10);
        open("unused", 0);
        await clock.advance(2_500);
        open("new", 0);
        await new Promise(resolve => setImmediate(resolve));
        accounts.dispose();
        assert.deepEqual(ended, ["idle"]);
    });
});
