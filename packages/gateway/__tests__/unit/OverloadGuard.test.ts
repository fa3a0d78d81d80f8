import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createOverloadGuard, type OverloadGuard, type OverloadGuardOptions } from "../../src/OverloadGuard.js";

/** A clock whose timers fire late, as they do when the process gets too little processor time. */
function createLateClock() {
    const clock = testing.createVirtualClock();
    let lateMs = 0;
    return {
        clock: {
            ...clock,
            setTimer: (delayMs: number, callback: () => void) => clock.setTimer(delayMs + lateMs, callback),
        },
        advance: clock.advance,
        setLate: (ms: number): void => void (lateMs = ms),
    };
}

const createGuard = (options: Partial<OverloadGuardOptions> & Pick<OverloadGuardOptions, "clock" | "utilization">) =>
    createOverloadGuard({
        log: testing.createRecordingLog(),
        random: () => 0.5,
        acceptQueue: { waitMs: () => 0, acceptedWhileBusy: () => 0, abandonedShare: () => 0 },
        relief: { isRequested: () => false, update: () => undefined },
        ...options,
    });

describe("OverloadGuard", () => {
    it("refuses no requests while timers fire on time", async () => {
        const { clock, advance } = createLateClock();
        const guard = createGuard({ clock, utilization: () => 0.3 });
        await advance(2_000);
        assert.ok(!guard.refusesRequest(1));
        assert.ok(!guard.isOverloaded());
    });

    it("refuses heavy customers when timers lag, and all customers when they lag further", async () => {
        const { clock, advance, setLate } = createLateClock();
        const guard = createGuard({ clock, utilization: () => 0.3 });
        setLate(150);
        await advance(600);
        assert.ok(guard.refusesRequest(0.9));
        assert.ok(!guard.refusesRequest(0.1));
        setLate(400);
        await advance(1_000);
        assert.ok(guard.refusesRequest(0.1));
    });

    it("refuses connections while the event loop is saturated although timers fire on time, then recovers", async () => {
        const { clock, advance } = createLateClock();
        let utilization = 0.5;
        const guard = createGuard({ clock, utilization: () => utilization });
        await advance(2_000);
        assert.equal(guard.judgeConnection(), "serve");
        utilization = 1;
        await advance(2_500);
        assert.equal(guard.judgeConnection(), "refuse");
        assert.equal(guard.refusedShare(), 0.9);
        assert.ok(!guard.refusesRequest(0.9), "accepted requests are served");
        assert.ok(!guard.isOverloaded(), "readiness stays on; refused callers retry at other VMs");
        utilization = 0.5;
        await advance(1_800);
        assert.equal(guard.judgeConnection(), "serve");
    });

    it("is not ready, and refuses few connections, while the load balancer can send callers to other VMs", async () => {
        const { clock, advance } = createLateClock();
        const shares: number[] = [];
        let utilization = 1;
        const guard = createGuard({
            clock,
            utilization: () => utilization,
            random: () => 0.3,
            relief: {
                isRequested: () => (shares.at(-1) ?? 0) > 0,
                update: share => void shares.push(share),
            },
        });
        await advance(2_500);
        assert.ok(guard.isOverloaded());
        assert.equal(guard.refusedShare(), 0.2);
        assert.equal(guard.judgeConnection(), "serve");
        utilization = 0.5;
        await advance(1_000);
        assert.ok(!guard.isOverloaded());
    });

    describe("while connections wait to be accepted", () => {
        let waitMs: number;
        let abandonedShare: number;
        let accepted: number;
        let late: ReturnType<typeof createLateClock>;
        let guard: OverloadGuard;
        beforeEach(() => {
            waitMs = 0;
            abandonedShare = 0;
            accepted = 4;
            late = createLateClock();
            guard = createGuard({
                clock: late.clock,
                utilization: () => 0.3,
                acceptQueue: {
                    waitMs: () => waitMs,
                    acceptedWhileBusy: () => accepted,
                    abandonedShare: () => abandonedShare,
                },
            });
        });

        const judgeAfter = (ms: number) => {
            waitMs = ms;
            return guard.judgeConnection();
        };

        it("refuses connections soon, and does not flush the queue while its callers wait", () => {
            assert.deepEqual([99, 100, 999, 1_000, 5_000, 0].map(judgeAfter), [
                "serve",
                "refuse",
                "refuse",
                "refuse",
                "refuse",
                "serve",
            ]);
        });

        it("refuses each connection that may have waited for longer than callers do, although it refuses few others", () => {
            guard = createGuard({
                clock: late.clock,
                utilization: () => 0.3,
                // The load balancer is asked to send callers elsewhere, so few connections are refused.
                relief: { isRequested: () => true, update: () => undefined },
                acceptQueue: {
                    waitMs: () => waitMs,
                    acceptedWhileBusy: () => accepted,
                    abandonedShare: () => abandonedShare,
                },
            });
            assert.deepEqual([999, 1_000, 3_000].map(judgeAfter), ["serve", "refuse", "refuse"]);
            accepted = 3;
            assert.equal(judgeAfter(1_000), "serve");
        });

        it("does not take a single long turn for a queue", () => {
            accepted = 3;
            assert.equal(judgeAfter(900), "serve");
        });

        it("flushes the queue when callers have given up, and then for 10 s before they do", async () => {
            abandonedShare = 0.5;
            assert.deepEqual([99, 999, 1_000].map(judgeAfter), ["serve", "refuse", "flush"]);
            abandonedShare = 0;
            assert.deepEqual([99, 299, 300].map(judgeAfter), ["serve", "refuse", "flush"]);
            await late.advance(10_000);
            assert.equal(judgeAfter(5_000), "refuse");
        });

        it("is not ready while it refuses all new connections, although timers fire on time", async () => {
            waitMs = 300;
            await late.advance(600);
            assert.ok(!guard.isOverloaded(), "a short queue does not turn readiness off");
            await late.advance(600);
            assert.ok(guard.isOverloaded());
            assert.ok(!guard.refusesRequest(0.9), "requests on open connections are served");
            waitMs = 0;
            await late.advance(1_200);
            assert.ok(!guard.isOverloaded());
        });
    });

    it("turns readiness off after a persistent lag but not after a short one, and on again afterwards", async () => {
        const { clock, advance, setLate } = createLateClock();
        const log = testing.createRecordingLog();
        const guard = createGuard({ clock, utilization: () => 0.3, log });
        setLate(200);
        await advance(400);
        assert.ok(!guard.isOverloaded());
        await advance(2_000);
        assert.ok(guard.isOverloaded());
        setLate(0);
        await advance(2_000);
        assert.ok(!guard.isOverloaded());
        assert.equal(log.count("processor-overloaded"), 1);
        assert.equal(log.count("processor-recovered"), 1);
    });
});
