import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as idempotency from "../../src/index.js";
import * as scenario from "./OperationScenario.js";

const firstSeed = 0x5eed;
const seeds = process.env["PERIDOTLOFT_SEED"]
    ? [Number(process.env["PERIDOTLOFT_SEED"])]
    : Array.from({ length: 14 }, (_, index) => firstSeed + index);

const commandOf = (seed: number): string => `PERIDOTLOFT_SEED=${seed} node scripts/run-tests.mjs OperationFleet`;

type Variant = [
    fault: string,
    kind: scenario.ViolationKind,
    options: Partial<scenario.ScenarioOptions>,
];

const variants: Variant[] = [
    [
        "an owner that treats an unknown key as new after a restart",
        "ran-twice",
        { policy: { coversHistory: () => true } },
    ],
    ["an owner that admits attempts of any age", "ran-twice", { policy: { isLate: () => false } }],
    [
        "a not-run that does not cover attempts that were delayed on their way",
        "untrue-not-run",
        { policy: { precedesRefusal: () => false } },
    ],
    ["an issuer that does not check the expiry", "ran-twice", { policy: { isTicketExpired: () => false } }],
    ["an owner that does not compare bodies", "other-answer", { policy: { isSameRequest: () => true } }],
    [
        "a sender that takes an undelivered forward for an operation that never ran",
        "untrue-not-run",
        { policy: { verdictOfPeerError: core.verdictOfPeerError } },
    ],
    ["an owner that forgets at the end of an operation", "ran-twice", { policy: { expiryOf: endedMs => endedMs } }],
    ["a VM that reuses its incarnation after a restart", "ran-twice", { incarnationOf: () => 1 }],
];

async function findFirst(kind: scenario.ViolationKind, options: Partial<scenario.ScenarioOptions>) {
    for (let seed = firstSeed; seed < firstSeed + 20; seed++) {
        const found = scenario.findViolations(await scenario.runScenario({ ...options, seed }))
            .find(violation => violation.kind === kind);
        if (found) {
            return found;
        }
    }
    return undefined;
}

describe("OperationStore in a fleet with restarts, cuts, pauses and two documents", () => {
    seeds.forEach(seed =>
        it(`runs each operation at most once and refuses truthfully, seed ${seed}`, async () => {
            const trace = await scenario.runScenario({ seed });
            assert.deepEqual(scenario.findViolations(trace), [], `repeat with: ${commandOf(seed)}`);
            const answered = trace.attempts.filter(attempt => attempt.outcome?.isOk()).length;
            assert.ok(trace.runs.length > 50 && answered > trace.runs.length, "the scenario runs and joins operations");
        })
    );

    it("keeps its word with a store that is often full", async () => {
        const maxStoredBytes = 3 * (idempotency.entryOverheadBytes + idempotency.reservedAnswerBytes);
        const trace = await scenario.runScenario({ seed: firstSeed, vms: 3, maxStoredBytes, maxCustomerShare: 1 });
        assert.deepEqual(scenario.findViolations(trace), [], `repeat with: ${commandOf(firstSeed)}`);
        const isFull = (attempt: scenario.AttemptRecord): boolean =>
            attempt.outcome?.isErr() === true && attempt.outcome.error.kind === "store-full";
        assert.ok(trace.attempts.some(isFull), "the store was full");
    });

    describe("the check catches", () => {
        variants.forEach(([fault, kind, options]) =>
            it(fault, async () => {
                assert.ok(await findFirst(kind, options), `no ${kind} found`);
            })
        );
    });
});
