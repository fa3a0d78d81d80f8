import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as core from "../../src/index.js";

describe("createSystemClock", () => {
    const delays = [
        { delayMs: 10.2, timerMs: 11 },
        { delayMs: 10, timerMs: 10 },
        { delayMs: 2 ** 31 + 5, timerMs: 2 ** 31 - 1 },
        { delayMs: Number.POSITIVE_INFINITY, timerMs: 2 ** 31 - 1 },
    ];
    delays.forEach(({ delayMs, timerMs }) =>
        it(`sets a timeout of ${timerMs} ms for a delay of ${delayMs} ms (guards against truncation and overflow to 1 ms)`, test => {
            const original = globalThis.setTimeout;
            const calls: (number | undefined)[] = [];
            test.mock.method(globalThis, "setTimeout", (callback: () => void, ms?: number) => {
                calls.push(ms);
                return original(callback, ms);
            });
            core.createSystemClock().setTimer(delayMs, () => undefined)();
            assert.deepEqual(calls, [timerMs]);
        })
    );
});
