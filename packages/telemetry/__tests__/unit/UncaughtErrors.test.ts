import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { beforeEach, describe, it } from "node:test";
import * as telemetry from "../../src/index.js";

describe("UncaughtErrors", () => {
    const maxDrainMs = 5_000;
    let source: EventEmitter;
    let clock: ReturnType<typeof testing.createVirtualClock>;
    let log: ReturnType<typeof testing.createRecordingLog>;
    let exits: number;

    beforeEach(() => {
        source = new EventEmitter();
        clock = testing.createVirtualClock();
        log = testing.createRecordingLog();
        exits = 0;
        const metrics = testing.createNoopMetrics();
        telemetry.watchUncaughtErrors({ source, clock, log, metrics, maxDrainMs, exit: () => void exits++ });
    });

    const raise = (error: unknown): void => void source.emit("uncaughtException", error, "uncaughtException");

    it("ends the process when the drain does not end", async () => {
        raise(new Error("first"));
        await clock.advance(maxDrainMs - 1);
        assert.equal(exits, 0);
        await clock.advance(1);
        assert.equal(exits, 1);
    });

    it("describes any thrown value in a bounded line", () => {
        const deepError = new Error("m".repeat(1_000_000));
        deepError.stack = `Error\n${"    at f (file.js:1:1)\n".repeat(10_000)}`;
        const values = [deepError, undefined, "text", Symbol("s"), { toString: undefined, valueOf: undefined }];
        values.forEach(raise);
        const lines = log.lines.filter(({ event }) => event === "uncaught-error");
        assert.equal(lines.length, values.length);
        lines.forEach(({ fields }) => assert.ok(JSON.stringify(fields).length < 1_000));
    });
});
