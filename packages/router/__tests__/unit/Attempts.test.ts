import * as core from "@peridotloft/core";
import type * as scheduling from "@peridotloft/scheduling";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runAttempts } from "../../src/Attempts.js";
import type { RequestFailure } from "../../src/RequestFailure.js";
import type { UpstreamContext } from "../../src/RouterContext.js";

interface Scenario {
    /** Results of the attempts in order: undefined for success; an `Error` is thrown. */
    readonly failures: readonly (RequestFailure | Error | undefined)[];
    readonly idempotent: boolean;
    readonly hasResponseStarted?: boolean;
    readonly budget?: number;
    readonly upstreams?: number;
    readonly released?: scheduling.UpstreamOutcome[];
}

/** Runs attempts with the given results, against a scheduler that grants each upstream once. */
async function run(scenario: Scenario) {
    const { failures, idempotent, hasResponseStarted = false, budget = 9, upstreams = 9, released = [] } = scenario;
    let retriesLeft = budget;
    const crashed: string[] = [];
    const scheduler = {
        acquire: async (request: scheduling.SlotRequest) =>
            request.exclude.length >= upstreams
                ? err({ kind: "no-upstream", retryAfterMs: 1 })
                : ok({
                    upstream: { id: core.upstreamId(`e${request.exclude.length}`) },
                    recordFirstByte: () => undefined,
                    release: (outcome: scheduling.UpstreamOutcome) => void released.push(outcome),
                }),
        tryTakeRetry: () => retriesLeft-- > 0,
        isQuarantined: () => crashed.length >= 2,
        recordCrash: (_: string, upstream: string) => void crashed.push(upstream),
    };
    const metrics = { count: () => undefined, histogram: () => undefined };
    const context = { clock: core.createSystemClock(), scheduler, metrics } as unknown as UpstreamContext;
    const plan = {
        customer: core.customerId("north"),
        pool: core.poolId("assistant"),
        estimatedCost: 1,
        deadlineMs: Infinity,
        idempotent,
        fingerprint: "f",
        signal: new AbortController().signal,
        hasResponseStarted: () => hasResponseStarted,
    };
    let attempts = 0;
    const outcome = await runAttempts<string>(context, plan, async () => {
        const failure = failures[attempts++];
        if (failure instanceof Error) {
            throw failure;
        }
        return { result: failure ? err(failure) : ok("response"), cost: 1 };
    });
    return { outcome, attempts, released, crashed };
}

const broken: RequestFailure = { kind: "connection-broken", written: true };
const unreachable: RequestFailure = { kind: "connect-failed", written: false };

describe("runAttempts", () => {
    it("does not retry a non-idempotent request that may have run", async () => {
        const { attempts, outcome } = await run({ failures: [broken, undefined], idempotent: false });
        assert.equal(attempts, 1);
        assert.equal(outcome.result.isErr(), true);
    });

    it("retries a request at another upstream when no connection was established, also if non-idempotent", async () => {
        const { attempts, outcome, released } = await run({ failures: [unreachable, undefined], idempotent: false });
        assert.equal(outcome.result.isOk(), true);
        assert.deepEqual([attempts, released], [2, ["unreachable", "completed"]]);
    });

    it("retries an idempotent request at another upstream and reports the crash to the scheduler", async () => {
        const { outcome, crashed } = await run({ failures: [broken, undefined], idempotent: true });
        assert.equal(outcome.result.isOk(), true);
        assert.deepEqual(crashed, ["e0"]);
    });

    it("does not retry once part of a response has been sent to the caller", async () => {
        assert.equal(
            (await run({ failures: [broken, undefined], idempotent: true, hasResponseStarted: true })).attempts,
            1,
        );
    });

    it("does not crash a third upstream with the same request", async () => {
        assert.equal((await run({ failures: [broken, broken, undefined], idempotent: true })).attempts, 2);
    });

    it("stops when the retry budget is exhausted", async () => {
        const refused: RequestFailure = { kind: "refused-before-running", written: true };
        assert.equal(
            (await run({ failures: [refused, refused, undefined], idempotent: true, budget: 1 })).attempts,
            2,
        );
    });

    it("retries after a few failed connections without the budget, and no more (guards against unbounded attempts)", async () => {
        const unreachableUpstreams = (count: number) => Array.from({ length: count }, () => unreachable);
        const passed = await run({ failures: [...unreachableUpstreams(3), undefined], idempotent: true, budget: 0 });
        assert.equal(passed.outcome.result.isOk(), true);
        assert.equal((await run({ failures: [...unreachableUpstreams(9)], idempotent: true, budget: 0 })).attempts, 4);
    });

    it("keeps the verdict may-have-run when a later attempt is not sent", async () => {
        const { outcome } = await run({ failures: [broken, unreachable], idempotent: true, budget: 1 });
        assert.equal(outcome.earlierVerdict, "may-have-run");
    });

    it("reports the failure of the only upstream, not the lack of another one", async () => {
        const { outcome } = await run({ failures: [unreachable], idempotent: true, upstreams: 1 });
        assert.equal(outcome.result._unsafeUnwrapErr().kind, "connect-failed");
    });

    it("releases the slot of an attempt that throws (guards against a slot leak)", async () => {
        const released: scheduling.UpstreamOutcome[] = [];
        await assert.rejects(run({ failures: [new Error("fault")], idempotent: true, released }), /fault/);
        assert.deepEqual(released, ["broken"]);
    });
});
