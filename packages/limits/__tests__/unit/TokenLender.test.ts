import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type BorrowRequestContent, decodeRequest, encodeRequest } from "../../src/BorrowMessages.js";
import * as limits from "../../src/index.js";
import { createOwnBuckets } from "../../src/OwnBuckets.js";
import { createShareTable } from "../../src/ShareTable.js";
import { createTokenLender, type GrantedLoan } from "../../src/TokenLender.js";
import { createDocument, customer, loanLifetimeMs, warmUpMs } from "./LimiterFleet.js";

const borrower = core.vmId("vm-9");
const burst = 400;

/** Creates a lender that owns the only bucket, which is full. */
async function createLender(ownDemandPerMs = 0) {
    // Does not advance between readings, because the tests compare tokens, which accrue with time, for equality.
    const clock = testing.createVirtualClock(0, 0);
    const fleet: document.FleetDocument = createDocument({ vmCount: 1, bucketsPerCustomer: 1 });
    const cell = core.createSnapshotCell(fleet);
    const lenderOwnership = ownership.createOwnership({ self: core.vmId("vm-0"), clock, document: cell });
    const shares = createShareTable({ clock, document: cell, ownership: lenderOwnership });
    const buckets = createOwnBuckets({ ownership: lenderOwnership, shares, createBucket: limits.createTokenBucket });
    const lender = createTokenLender({
        buckets,
        ownDemandPerMs: () => ownDemandPerMs,
        loanLifetimeMs: () => loanLifetimeMs,
    });
    await clock.advance(warmUpMs);
    const sendRequest = (content: BorrowRequestContent) =>
        lender.handle(borrower, testing.expectOk(decodeRequest(encodeRequest(content))), clock.nowMs());
    const bucketOfLender = () => buckets.find(customer, 0, clock.nowMs())!.bucket;
    return { clock, sendRequest, bucketOfLender };
}

const lineOf = (line: NonNullable<BorrowRequestContent["lines"]>[number] = {}) => [{ customer, bucket: 0, ...line }];

const grantedCost = (grants: readonly GrantedLoan[]): number => grants[0]!.cost;

describe("TokenLender", () => {
    it("rejects a duplicate or reordered request (guards against lending twice)", async () => {
        const { sendRequest, bucketOfLender } = await createLender();
        const first = { incarnation: 1n, sequence: 2, lines: lineOf({ needCost: 50 }) };
        assert.equal(grantedCost(testing.expectOk(sendRequest(first))), 50);
        assert.ok(sendRequest(first).isErr());
        assert.ok(sendRequest({ ...first, sequence: 1 }).isErr());
        assert.equal(bucketOfLender().outstanding(), 50);
    });

    it("reclaims a loan when the borrower did not receive the reply", async () => {
        const { sendRequest, bucketOfLender } = await createLender();
        sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 50 }) });
        sendRequest({ incarnation: 1n, sequence: 2, unanswered: 1, lines: lineOf() });
        assert.equal(bucketOfLender().outstanding(), 0);
        assert.equal(bucketOfLender().tokens(), burst);
    });

    it("ignores a report on a loan of another run of the borrower (guards against reclaiming loans that may be spent)", async () => {
        const { sendRequest, bucketOfLender } = await createLender();
        sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 50, gathering: true }) });
        sendRequest({
            incarnation: 2n,
            sequence: 2,
            lines: lineOf({ reports: [{ loan: 1, spentCost: 0, closed: true }] }),
        });
        assert.equal(bucketOfLender().outstanding(), 50);
    });

    it("returns the unspent rest of a closed loan once", async () => {
        const { sendRequest, bucketOfLender } = await createLender();
        const reports = [{ loan: 1, spentCost: 20, closed: true }];
        sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 50, gathering: true }) });
        sendRequest({ incarnation: 1n, sequence: 2, lines: lineOf({ reports }) });
        sendRequest({ incarnation: 1n, sequence: 3, lines: lineOf({ reports }) });
        assert.equal(bucketOfLender().tokens() + bucketOfLender().outstanding(), burst - 20);
    });

    it("ignores a credit of an unknown run (guards against credits repeated after a restart of the lender)", async () => {
        const { sendRequest, bucketOfLender } = await createLender();
        bucketOfLender().spend(200);
        sendRequest({ incarnation: 1n, sequence: 7, lines: lineOf({ settledCost: 30 }) });
        assert.equal(bucketOfLender().tokens(), burst - 200);
        sendRequest({ incarnation: 1n, sequence: 8, lines: lineOf({ settledCost: -30 }) });
        assert.equal(bucketOfLender().tokens(), burst - 230);
    });

    it("reserves tokens for the lender's own demand", async () => {
        const { sendRequest } = await createLender(0.2);
        const [grant] = testing.expectOk(
            sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 500, aheadCost: 500 }) }),
        );
        assert.ok(grant!.cost <= burst - 0.2 * 50, `${grant!.cost} granted`);
        const other = await createLender(0.2);
        const ahead = testing.expectOk(
            other.sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ aheadCost: 500 }) }),
        );
        assert.ok(grantedCost(ahead) <= (burst - 0.2 * loanLifetimeMs / 2) / 2);
    });

    it("writes off an expired loan and ignores its later return", async () => {
        const { clock, sendRequest, bucketOfLender } = await createLender();
        sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 100, gathering: true }) });
        await clock.advance(loanLifetimeMs + 200);
        const before = bucketOfLender().tokens();
        assert.ok(before < burst, "the loan limits the accrual until it expires");
        sendRequest({
            incarnation: 1n,
            sequence: 2,
            lines: lineOf({ reports: [{ loan: 1, spentCost: 0, closed: true }] }),
        });
        assert.equal(bucketOfLender().tokens(), before);
    });

    it("rejects costs that are negative or not numbers", async () => {
        const { sendRequest } = await createLender();
        assert.ok(sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: Number.NaN }) }).isErr());
        assert.ok(sendRequest({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: -1 }) }).isErr());
    });
});
