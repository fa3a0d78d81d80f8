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
    ["an owner that admits attempts of any age", "ran-twice", { policy: { isTooOld: () => false } }],
    [
        "an owner whose not-run does not cover attempts that are still being forwarded",
        "false-not-run",
        { policy: { precedesRefusal: () => false } },
    ],
    ["an issuer that does not check the expiry", "ran-twice", { policy: { isTicketExpired: () => false } }],
    ["an owner that does not compare bodies", "wrong-response", { policy: { isSameRequest: () => true } }],
    [
        "a sender that reports not-run because its forward was not delivered",
        "false-not-run",
        { policy: { verdictOfPeerError: core.verdictOfPeerError } },
    ],
    ["an owner that removes an operation as soon as it ends", "ran-twice", {
        policy: { expiryOf: endedMs => endedMs },
    }],
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

describe("OperationStore in a fleet with restarts, partitions, pauses and different documents", () => {
    seeds.forEach(seed =>
        it(`runs each operation at most once and never refuses with a false verdict, seed ${seed}`, async () => {
            const trace = await scenario.runScenario({ seed });
            assert.deepEqual(scenario.findViolations(trace), [], `repeat with: ${commandOf(seed)}`);
            const successes = trace.attempts.filter(attempt => attempt.outcome?.isOk()).length;
            assert.ok(
                trace.runs.length > 50 && successes > trace.runs.length,
                "the scenario runs operations and resends join them",
            );
        })
    );

    it("keeps its guarantees with a store that is often full", async () => {
        const maxStoredBytes = 3 * (idempotency.entryOverheadBytes + idempotency.reservedResponseBytes);
        const trace = await scenario.runScenario({ seed: firstSeed, vms: 3, maxStoredBytes, maxCustomerShare: 1 });
        assert.deepEqual(scenario.findViolations(trace), [], `repeat with: ${commandOf(firstSeed)}`);
        const isFull = (attempt: scenario.AttemptRecord): boolean =>
            attempt.outcome?.isErr() === true && attempt.outcome.error.kind === "store-full";
        assert.ok(trace.attempts.some(isFull), "the store was full at least once");
    });

    describe("the check detects", () => {
        variants.forEach(([fault, kind, options]) =>
            it(fault, async () => {
                assert.ok(await findFirst(kind, options), `no ${kind} found`);
            })
        );
    });
});
