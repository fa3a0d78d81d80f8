import * as documents from "@peridotloft/document";
import type * as scheduling from "@peridotloft/scheduling";
import * as support from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createAuditTrail } from "../../src/AuditTrail.js";
import * as constants from "../../src/RouterConstants.js";

const hash = (digit: string) => digit.repeat(64);

const documentOf = (version: number, change: Partial<documents.FleetDocumentInput> = {}) =>
    documents.validateDocument({
        version,
        zones: [{ id: "a", region: "r" }],
        vms: [{ id: "vm-1", zone: "a", peerAddress: "127.0.0.1:7101" }],
        customers: [{ id: "north", rateCostPerS: 10, burstCost: 20 }],
        keys: [{ id: "k1", customer: "north", sha256: hash("a") }],
        pools: [{
            id: "assistant",
            kind: "engine",
            upstreams: [{ id: "e1", zone: "a", url: "http://127.0.0.1:1", slots: 1, coldSlots: 1 }],
        }],
        ...change,
    })._unsafeUnwrap();

const schedulerOf = (phase: scheduling.UpstreamPhase, quarantined: string[] = []) =>
    ({ upstreams: [{ upstream: "e1", phase }], queues: [], quarantined }) as unknown as scheduling.SchedulerStatus;

function createTrail() {
    const lines: unknown[] = [];
    const clock = support.createVirtualClock();
    const logger = { info: (...parts: unknown[]) => void lines.push(parts) };
    return { trail: createAuditTrail(clock, logger as never), lines };
}

describe("AuditTrail", () => {
    it("records each changed field with version, before, after and cause, and one log line each", () => {
        const { trail, lines } = createTrail();
        trail.recordDocument(undefined, documentOf(1));
        trail.recordDocument(documentOf(1), documentOf(2, { zones: [{ id: "a", region: "r", state: "leaving" }] }));
        const { wallMs: _, ...last } = trail.entries().at(-1)!;
        assert.deepEqual(last, {
            version: 2,
            subject: "zones a state",
            before: "in-service",
            after: "leaving",
            cause: "document version 2",
        });
        assert.equal(lines.length, trail.entries().length);
    });

    it("does not contain the hash of a key", () => {
        const { trail, lines } = createTrail();
        const changed = documentOf(2, { keys: [{ id: "k1", customer: "north", sha256: hash("b") }] });
        trail.recordDocument(documentOf(1), changed);
        trail.recordDocument(changed, documentOf(3, { keys: [] }));
        assert.doesNotMatch(JSON.stringify([trail.entries(), lines]), /a{64}|b{64}/);
        assert.equal(trail.entries().at(-1)!.subject, "keys k1");
    });

    it("records phases and quarantine when they change, and only then", () => {
        const { trail } = createTrail();
        trail.recordSchedulerStatus(schedulerOf("cold"));
        trail.recordSchedulerStatus(schedulerOf("cold"));
        trail.recordSchedulerStatus(schedulerOf("warm", ["f1"]));
        trail.recordSchedulerStatus(schedulerOf("warm"));
        const changes = trail.entries().map(({ subject, before, after }) => [subject, before, after]);
        assert.deepEqual(changes, [
            ["upstream e1 phase", "cold", "warm"],
            ["quarantine f1", undefined, "refused"],
            ["quarantine f1", "refused", undefined],
        ]);
    });

    it("records a rejected document once", () => {
        const { trail } = createTrail();
        const rejected = { source: "http://p", errors: [{ path: "zones", message: "is empty" }], wallMs: 5 };
        trail.recordRejectedDocument(rejected);
        trail.recordRejectedDocument(rejected);
        assert.deepEqual(trail.entries().map(({ cause }) => cause), [
            "rejected a document from http://p: zones: is empty",
        ]);
    });

    it("keeps only the most recent entries", () => {
        const { trail } = createTrail();
        Array.from({ length: constants.maxAuditEntries + 1 }, (_, index) => documentOf(index + 1))
            .forEach(document => trail.recordDocument(undefined, document));
        assert.equal(trail.entries().length, constants.maxAuditEntries);
        assert.equal(trail.entries()[0]!.version, 2);
    });
});
