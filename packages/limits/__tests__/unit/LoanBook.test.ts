import * as core from "@peridotloft/core";
import * as document from "@peridotloft/document";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type BorrowRequestContent, decodeRequest, encodeRequest } from "../../src/BorrowMessages.js";
import * as limits from "../../src/index.js";
import { createLoanBook, type GrantedLoan } from "../../src/LoanBook.js";
import { createOwnBuckets } from "../../src/OwnBuckets.js";
import { createShareTable } from "../../src/ShareTable.js";
import { createDocument, customer, loanLifetimeMs, warmUpMs } from "./LimiterFleet.js";

const borrower = core.vmId("vm-9");
const burst = 400;

/** One lender that owns the only bucket, which is full. */
async function createLender(ownDemandPerMs = 0) {
    // Stands still between readings, because the tests compare tokens that accrue with time for equality.
    const clock = testing.createVirtualClock(0, 0);
    const fleet: document.FleetDocument = createDocument({ vmCount: 1, bucketsPerCustomer: 1 });
    const cell = core.createSnapshotCell(fleet);
    const owned = ownership.createOwnership({ self: core.vmId("vm-0"), clock, document: cell });
    const shares = createShareTable({ clock, document: cell, ownership: owned });
    const buckets = createOwnBuckets({ ownership: owned, shares, createBucket: limits.createTokenBucket });
    const book = createLoanBook({
        buckets,
        ownDemandPerMs: () => ownDemandPerMs,
        loanLifetimeMs: () => loanLifetimeMs,
    });
    await clock.advance(warmUpMs);
    const ask = (content: BorrowRequestContent) =>
        book.handle(borrower, testing.expectOk(decodeRequest(encodeRequest(content))), clock.nowMs());
    const lent = () => buckets.find(customer, 0, clock.nowMs())!.bucket;
    return { clock, ask, lent };
}

const lineOf = (line: NonNullable<BorrowRequestContent["lines"]>[number] = {}) => [{ customer, bucket: 0, ...line }];

const grantedCost = (grants: readonly GrantedLoan[]): number => grants[0]!.cost;

describe("LoanBook", () => {
    it("lends nothing for a duplicated or late request (guards against lending twice)", async () => {
        const { ask, lent } = await createLender();
        const first = { incarnation: 1n, sequence: 2, lines: lineOf({ needCost: 50 }) };
        assert.equal(grantedCost(testing.expectOk(ask(first))), 50);
        assert.ok(ask(first).isErr());
        assert.ok(ask({ ...first, sequence: 1 }).isErr());
        assert.equal(lent().outstanding(), 50);
    });

    it("takes a loan back when the borrower never received the answer", async () => {
        const { ask, lent } = await createLender();
        ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 50 }) });
        ask({ incarnation: 1n, sequence: 2, unanswered: 1, lines: lineOf() });
        assert.equal(lent().outstanding(), 0);
        assert.equal(lent().tokens(), burst);
    });

    it("ignores a report of another run of the borrower (guards against returns of loans that may be spent)", async () => {
        const { ask, lent } = await createLender();
        ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 50, gathering: true }) });
        ask({ incarnation: 2n, sequence: 2, lines: lineOf({ reports: [{ loan: 1, spentCost: 0, closed: true }] }) });
        assert.equal(lent().outstanding(), 50);
    });

    it("returns the unspent rest of a closed loan once", async () => {
        const { ask, lent } = await createLender();
        const reports = [{ loan: 1, spentCost: 20, closed: true }];
        ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 50, gathering: true }) });
        ask({ incarnation: 1n, sequence: 2, lines: lineOf({ reports }) });
        ask({ incarnation: 1n, sequence: 3, lines: lineOf({ reports }) });
        assert.equal(lent().tokens() + lent().outstanding(), burst - 20);
    });

    it("voids a credit of a run that it does not know (guards against credits repeated after a restart)", async () => {
        const { ask, lent } = await createLender();
        lent().take(200);
        ask({ incarnation: 1n, sequence: 7, lines: lineOf({ settledCost: 30 }) });
        assert.equal(lent().tokens(), burst - 200);
        ask({ incarnation: 1n, sequence: 8, lines: lineOf({ settledCost: -30 }) });
        assert.equal(lent().tokens(), burst - 230);
    });

    it("keeps what the lender's own demand needs", async () => {
        const { ask } = await createLender(0.2);
        const [grant] = testing.expectOk(
            ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 500, aheadCost: 500 }) }),
        );
        assert.ok(grant!.cost <= burst - 0.2 * 50, `${grant!.cost} granted`);
        const other = await createLender(0.2);
        const ahead = testing.expectOk(other.ask({ incarnation: 1n, sequence: 1, lines: lineOf({ aheadCost: 500 }) }));
        assert.ok(grantedCost(ahead) <= (burst - 0.2 * loanLifetimeMs / 2) / 2);
    });

    it("writes an expired loan off and never returns it", async () => {
        const { clock, ask, lent } = await createLender();
        ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: 100, gathering: true }) });
        await clock.advance(loanLifetimeMs + 200);
        const before = lent().tokens();
        assert.ok(before < burst, "accrual before the expiry is limited by the loan");
        ask({ incarnation: 1n, sequence: 2, lines: lineOf({ reports: [{ loan: 1, spentCost: 0, closed: true }] }) });
        assert.equal(lent().tokens(), before);
    });

    it("refuses costs that are not numbers", async () => {
        const { ask } = await createLender();
        assert.ok(ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: Number.NaN }) }).isErr());
        assert.ok(ask({ incarnation: 1n, sequence: 1, lines: lineOf({ needCost: -1 }) }).isErr());
    });
});
