import type * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as failures from "../../src/RequestFailure.js";

type Expected = readonly [statusCode: number, unwritten: core.Verdict, written: core.Verdict];

// One line per kind of failure. `written` means that part of the request may have reached an upstream.
const expected: Record<failures.FailureKind, Expected> = {
    "not-ready": [503, "not-run", "not-run"],
    "memory-full": [503, "not-run", "not-run"],
    "unknown-route": [404, "not-run", "not-run"],
    "method-not-allowed": [405, "not-run", "not-run"],
    "invalid-request": [400, "not-run", "not-run"],
    "body-too-large": [413, "not-run", "not-run"],
    "headers-too-large": [431, "not-run", "not-run"],
    "slow-request": [408, "not-run", "not-run"],
    "unknown-model": [404, "not-run", "not-run"],
    "missing-key": [401, "not-run", "not-run"],
    "unknown-key": [401, "not-run", "not-run"],
    "key-withdrawn": [401, "not-run", "may-have-run"],
    "quarantined": [422, "not-run", "not-run"],
    "rate-exceeded": [429, "not-run", "not-run"],
    "cost-exceeds-burst": [400, "not-run", "not-run"],
    "unknown-customer": [403, "not-run", "not-run"],
    "queue-full": [429, "not-run", "not-run"],
    "queue-deadline": [503, "not-run", "not-run"],
    "no-upstream": [503, "not-run", "not-run"],
    "expired": [503, "not-run", "not-run"],
    "caller-left": [499, "not-run", "may-have-run"],
    "connect-failed": [502, "not-run", "not-run"],
    "refused-before-running": [503, "not-run", "not-run"],
    "overloaded": [503, "not-run", "may-have-run"],
    "connection-broken": [502, "not-run", "may-have-run"],
    "first-byte-timeout": [504, "not-run", "may-have-run"],
    "idle-timeout": [504, "not-run", "may-have-run"],
    "deadline": [504, "not-run", "may-have-run"],
    "truncated": [502, "not-run", "may-have-run"],
    "malformed": [502, "not-run", "may-have-run"],
    "answer-too-large": [502, "not-run", "may-have-run"],
    "internal": [500, "not-run", "may-have-run"],
};

describe("RequestFailure", () => {
    it("has an expected verdict for every kind of failure", () => {
        assert.deepEqual(Object.keys(failures.failureRules).sort(), Object.keys(expected).sort());
    });

    Object.entries(expected).forEach(([name, [statusCode, unwritten, written]]) => {
        const kind = name as failures.FailureKind;
        it(`does not report not-run for a request that may have run: ${kind}`, () => {
            assert.equal(failures.verdictOf({ kind, written: false }), unwritten);
            assert.equal(failures.verdictOf({ kind, written: true }), written);
            assert.equal(failures.refusalOf({ kind, written: true }).statusCode, statusCode);
        });

        it(`keeps may-have-run of an earlier attempt: ${kind}`, () => {
            assert.equal(failures.refusalOf({ kind, written: false }, "may-have-run").verdict, "may-have-run");
        });
    });

    it("sets a retry delay for every temporary failure", () => {
        const temporary = Object.entries(failures.failureRules).filter(([, rule]) =>
            rule.statusCode === 408 || rule.statusCode === 429 || rule.statusCode >= 500
        );
        temporary.forEach(([kind]) => {
            const refusal = failures.refusalOf({ kind: kind as failures.FailureKind, written: true });
            assert.ok((refusal.retryAfterMs ?? 0) > 0, kind);
        });
    });
});
