import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as idempotency from "../../src/index.js";
import { signTicket } from "../../src/OperationTicket.js";
import * as fixture from "./OperationFixture.js";

const { keyToken, ticketToken, summaryOf, north, south } = fixture;

async function setUp(options: Partial<fixture.FleetOptions> = {}) {
    const fleet = fixture.createFleet({ vms: 4, seed: 1, ...options });
    await fleet.warmUp();
    const owner = fleet.documents.ownerUnder("operation/north/k", 1);
    const entry = fixture.entryFor(fleet.ids, owner, fleet.ids.at(-1)!);
    const other = fixture.entryFor(fleet.ids, owner, entry);
    return { ...fleet, owner, entry, other };
}

/** Fails with `not-run` as long as `state.failing` is set. */
function createFailingExecute() {
    const runs: string[] = [];
    const state = { failing: true };
    const execute: idempotency.ExecuteOperation = async (_customer, request) => {
        if (state.failing) {
            return err({ verdict: "not-run", kind: "failed", message: "rate exceeded", statusCode: 429 });
        }
        runs.push(Buffer.from(request.body).toString());
        return ok(fixture.responseOf("done"));
    };
    return { runs, state, execute };
}

describe("OperationStore", () => {
    describe("with an idempotency key", () => {
        it("responds to a resend through another VM with the response of the first run", async () => {
            const fleet = await setUp();
            const first = await fleet.run(fleet.entry, keyToken("k"), "seat 4");
            const second = await fleet.run(fleet.other, keyToken("k"), "seat 4");
            assert.deepEqual(second._unsafeUnwrap().body, first._unsafeUnwrap().body);
            assert.deepEqual(second._unsafeUnwrap().headers, first._unsafeUnwrap().headers);
            assert.deepEqual(fleet.ran, ["north:seat 4"]);
        });

        it("runs equal keys of two customers as separate operations", async () => {
            const fleet = await setUp();
            await fleet.run(fleet.entry, keyToken("k"), "seat 4", north);
            await fleet.run(fleet.entry, keyToken("k"), "seat 4", south);
            assert.deepEqual(fleet.ran, ["north:seat 4", "south:seat 4"]);
        });

        it("refuses the same key with another body", async () => {
            const fleet = await setUp();
            await fleet.run(fleet.entry, keyToken("k"), "seat 4");
            const second = await fleet.run(fleet.entry, keyToken("k"), "seat 5");
            assert.equal(summaryOf(second), "not-run different-request 422");
        });

        it("does not report not-run for a key whose owner has lost its records in a restart", async () => {
            const fleet = await setUp();
            await fleet.run(fleet.entry, keyToken("k"), "seat 4");
            fleet.restart(fleet.owner);
            assert.equal(
                summaryOf(await fleet.run(fleet.entry, keyToken("k"), "seat 4")),
                "may-have-run unknown-history 503",
            );
            assert.equal(fleet.ran.length, 1);
        });

        it("does not report not-run when the owner is unreachable", async () => {
            const fleet = await setUp();
            fleet.network.detach(fleet.owner);
            const outcome = await fleet.run(fleet.entry, keyToken("k"), "seat 4");
            assert.equal(summaryOf(outcome), "may-have-run owner-unreachable 503");
        });

        [["an empty key", ""], ["a key over 256 bytes", "é".repeat(129)]].forEach(([what, key]) =>
            it(`refuses ${what}`, async () => {
                const fleet = await setUp();
                assert.equal(
                    summaryOf(await fleet.run(fleet.entry, keyToken(key!), "x")),
                    "not-run invalid-token 400",
                );
            })
        );

        it("forwards to the previous owner until it confirms the new document (guards against a key that runs under both documents)", async () => {
            const fleet = await setUp();
            const joining = fleet.ids.at(-1)!;
            const key = Array.from({ length: 200 }, (_, index) => `k${index}`)
                .find(candidate => fleet.documents.ownerUnder(`operation/north/${candidate}`, 2) === joining)!;
            const previous = fleet.documents.ownerUnder(`operation/north/${key}`, 1);
            const [onOldDocument, onNewDocument] = fleet.ids.filter(id => id !== joining && id !== previous);
            fleet.documents.adopt(joining, 2);
            fleet.documents.adopt(onNewDocument!, 2);
            const first = await fleet.run(onNewDocument!, keyToken(key), "swap");
            const second = await fleet.run(onOldDocument!, keyToken(key), "swap");
            assert.equal(summaryOf(second), summaryOf(first));
            fleet.documents.adopt(previous, 2);
            await fleet.clock.advance(2_000);
            const third = await fleet.run(joining, keyToken(key), "swap");
            assert.equal(summaryOf(third), "may-have-run unknown-history 503");
            assert.equal(fleet.ran.length, 1);
        });
    });

    describe("when execute returns a refusal or throws", () => {
        it("lets a later attempt run", async () => {
            const { runs, state, execute } = createFailingExecute();
            const fleet = await setUp({ execute });
            assert.equal(summaryOf(await fleet.run(fleet.entry, keyToken("k"), "x")), "not-run failed 429");
            state.failing = false;
            await fleet.clock.advance(10);
            assert.equal(summaryOf(await fleet.run(fleet.entry, keyToken("k"), "x")), "done");
            assert.deepEqual(runs, ["x"]);
        });

        it("does not run a delayed attempt that had arrived before the refusal", async () => {
            const { runs, state, execute } = createFailingExecute();
            const fleet = await setUp({ execute });
            const delayed = fleet.storeOf(fleet.entry).run(keyToken("k"), north, fixture.makeRequest("x"));
            await fleet.clock.advance(1);
            fleet.pause(fleet.entry);
            assert.equal(summaryOf(await fleet.run(fleet.other, keyToken("k"), "x")), "not-run failed 429");
            state.failing = false;
            fleet.resume(fleet.entry);
            await fleet.clock.advance(50);
            assert.equal(summaryOf(await delayed), "not-run failed 429");
            assert.deepEqual(runs, []);
        });

        it("refuses every resend with the same may-have-run when execute throws", async () => {
            let calls = 0;
            const fleet = await setUp({
                execute: () => {
                    calls += 1;
                    return Promise.reject(new Error("connection reset"));
                },
            });
            assert.equal(summaryOf(await fleet.run(fleet.entry, keyToken("k"), "x")), "may-have-run failed 502");
            assert.equal(summaryOf(await fleet.run(fleet.other, keyToken("k"), "x")), "may-have-run failed 502");
            assert.equal(calls, 1);
        });

        it("does not allow execution to start after the window (guards against a process that resumes late)", async () => {
            const allowed: boolean[] = [];
            const fleet: Awaited<ReturnType<typeof setUp>> = await setUp({
                execute: async (_customer, _request, guard) => {
                    await new Promise<void>(resolve => fleet.clock.setTimer(fixture.windowMs, resolve));
                    allowed.push(guard.mayStart());
                    return err({ verdict: "not-run", kind: "failed", message: "too late", statusCode: 503 });
                },
            });
            assert.equal(summaryOf(await fleet.run(fleet.owner, keyToken("k"), "x")), "not-run failed 503");
            assert.deepEqual(allowed, [false]);
        });
    });

    describe("with an operation ticket", () => {
        it("runs through any VM and responds to resends with the same response", async () => {
            const fleet = await setUp();
            const { ticket } = fleet.storeOf(fleet.owner).issueTicket(north);
            const first = await fleet.run(fleet.entry, ticketToken(ticket), "x");
            const second = await fleet.run(fleet.other, ticketToken(ticket), "x");
            assert.equal(summaryOf(second), summaryOf(first));
            assert.equal(fleet.ran.length, 1);
        });

        it("is accepted directly after the issuer's start, when keys are still refused", async () => {
            const fleet = await setUp();
            fleet.restart(fleet.owner);
            const { ticket } = fleet.storeOf(fleet.owner).issueTicket(north);
            assert.ok((await fleet.run(fleet.entry, ticketToken(ticket), "x")).isOk());
        });

        it("never runs after its issuer restarted", async () => {
            const fleet = await setUp();
            const { ticket } = fleet.storeOf(fleet.owner).issueTicket(north);
            fleet.restart(fleet.owner);
            const restarted = "may-have-run unknown-history 410";
            assert.equal(summaryOf(await fleet.run(fleet.entry, ticketToken(ticket), "x")), restarted);
            assert.equal(summaryOf(await fleet.run(fleet.owner, ticketToken(ticket), "x")), restarted);
            assert.equal(fleet.ran.length, 0);
        });

        it("expires by the issuer's clock, while a stored response is still returned after that", async () => {
            const fleet = await setUp();
            const used = fleet.storeOf(fleet.owner).issueTicket(north);
            const unused = fleet.storeOf(fleet.owner).issueTicket(north);
            await fleet.run(fleet.entry, ticketToken(used.ticket), "x");
            await fleet.clock.advance(used.lifetimeMs);
            assert.ok((await fleet.run(fleet.entry, ticketToken(used.ticket), "x")).isOk());
            const expired = "may-have-run expired-token 410";
            assert.equal(summaryOf(await fleet.run(fleet.entry, ticketToken(unused.ticket), "x")), expired);
            await fleet.clock.advance(idempotency.maxAttemptAgeMs + 1);
            assert.equal(summaryOf(await fleet.run(fleet.entry, ticketToken(used.ticket), "x")), expired);
        });

        it("is refused when forged, too long, truncated or of another customer", async () => {
            const fleet = await setUp();
            const { ticket } = fleet.storeOf(fleet.owner).issueTicket(north);
            const contents = { vm: fleet.owner, incarnation: 1, customer: north, operationId: "00", expiresMs: 1e9 };
            const forged = signTicket(contents, "another secret");
            const run = async (text: string, customer = north) =>
                summaryOf(await fleet.run(fleet.entry, ticketToken(text), "x", customer));
            assert.equal(await run(forged), "may-have-run invalid-token 400");
            assert.equal(await run("A".repeat(idempotency.maxTicketLength + 1)), "not-run invalid-token 400");
            assert.equal(await run("AAAA"), "not-run invalid-token 400");
            assert.equal(await run(ticket, south), "not-run invalid-token 400");
            assert.equal(fleet.ran.length, 0);
        });
    });

    describe("when the store is full", () => {
        const storeBytes = 8 * (idempotency.entryOverheadBytes + idempotency.reservedResponseBytes);

        /** Fills the store of one VM with keys of one customer, and returns the outcomes. */
        async function fillStore(fleet: Awaited<ReturnType<typeof setUp>>, vm = fleet.ids[0]!): Promise<string[]> {
            const keys = Array.from({ length: 60 }, (_, index) => `k${index}`)
                .filter(key => fleet.documents.ownerUnder(`operation/north/${key}`, 1) === vm);
            const outcomes = [];
            for (const key of keys) {
                outcomes.push(summaryOf(await fleet.run(vm, keyToken(key), "x")).slice(0, 24));
            }
            return outcomes;
        }

        const execute: idempotency.ExecuteOperation = async () => ok(fixture.responseOf("y".repeat(60_000)));

        it("refuses new operations with not-run and keeps the stored ones", async () => {
            const fleet = await setUp({ maxStoredBytes: storeBytes, maxCustomerShare: 1, execute });
            const outcomes = await fillStore(fleet);
            assert.equal(outcomes[0], "y".repeat(24));
            assert.equal(outcomes.at(-1), "not-run store-full 503");
            assert.deepEqual(await fillStore(fleet), outcomes);
            assert.ok(fleet.storeOf(fleet.ids[0]!).status().storedBytes <= storeBytes);
        });

        it("has room again when operations have expired", async () => {
            const fleet = await setUp({ maxStoredBytes: storeBytes, execute });
            await fillStore(fleet);
            await fleet.clock.advance(fixture.windowMs + idempotency.maxAttemptAgeMs + idempotency.expiryCheckPeriodMs);
            assert.deepEqual(fleet.storeOf(fleet.ids[0]!).status(), { operations: 0, storedBytes: 0 });
        });

        [[0.5, true], [1, false]].forEach(([maxCustomerShare, served]) =>
            it(`${served ? "serves" : "does not serve"} other customers when one fills a customer share of ${maxCustomerShare}`, async () => {
                const fleet = await setUp({
                    maxStoredBytes: storeBytes,
                    maxCustomerShare: Number(maxCustomerShare),
                    execute,
                });
                await fillStore(fleet);
                const { ticket } = fleet.storeOf(fleet.ids[0]!).issueTicket(south);
                const outcome = await fleet.run(fleet.ids[1]!, ticketToken(ticket), "x", south);
                assert.equal(outcome.isOk(), served);
            })
        );

        it("reports ran for an operation whose response does not fit", async () => {
            const fleet = await setUp({
                maxStoredBytes: storeBytes,
                execute: async () => ok(fixture.responseOf("y".repeat(storeBytes))),
            });
            assert.ok((await fleet.run(fleet.entry, keyToken("k"), "x")).isOk());
            assert.equal(summaryOf(await fleet.run(fleet.entry, keyToken("k"), "x")), "ran failed 502");
        });
    });
});
