import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createOverloadGuard } from "../../src/OverloadGuard.js";

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

describe("OverloadGuard", () => {
    it("refuses no requests while timers fire on time", async () => {
        const { clock, advance } = createLateClock();
        const guard = createOverloadGuard(clock, testing.createRecordingLog(), () => 0.3, () => 0.5);
        await advance(2_000);
        assert.ok(!guard.refusesRequest(1));
        assert.ok(!guard.isOverloaded());
    });

    it("refuses heavy customers when timers lag, and all customers when they lag further", async () => {
        const { clock, advance, setLate } = createLateClock();
        const guard = createOverloadGuard(clock, testing.createRecordingLog(), () => 0.3, () => 0.5);
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
        const guard = createOverloadGuard(clock, testing.createRecordingLog(), () => utilization, () => 0.5);
        await advance(2_000);
        assert.ok(guard.admitsConnection());
        utilization = 1;
        await advance(2_500);
        assert.ok(!guard.admitsConnection());
        assert.ok(!guard.refusesRequest(0.9), "accepted requests are served");
        assert.ok(!guard.isOverloaded(), "readiness stays on; refused callers retry at other VMs");
        utilization = 0.5;
        await advance(1_800);
        assert.ok(guard.admitsConnection());
    });

    it("turns readiness off after a persistent lag but not after a short one, and on again afterwards", async () => {
        const { clock, advance, setLate } = createLateClock();
        const log = testing.createRecordingLog();
        const guard = createOverloadGuard(clock, log, () => 0.3, () => 0.5);
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
