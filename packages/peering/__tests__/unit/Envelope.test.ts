import * as protobuf from "@bufbuild/protobuf";
import * as core from "@peridotloft/core";
import * as fc from "fast-check";
import { ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as codec from "../../src/EnvelopeCodec.js";
import { createEnvelopeReceiver } from "../../src/EnvelopeReceiver.js";
import { EnvelopeSchema, Outcome } from "../../src/gen/peering_pb.js";
import { createPeerCounters } from "../../src/PeerCounters.js";
import { createReplayGuard, type ReplayGuard } from "../../src/ReplayGuard.js";

const secret = "secret-of-the-test";
const fuzz = { seed: 20_260_801, numRuns: 300 };

const fieldsArbitrary = fc.record({
    sender: fc.string({ maxLength: 20 }),
    incarnation: fc.bigInt(0n, 2n ** 64n - 1n),
    receiver: fc.string({ maxLength: 20 }),
    receiverIncarnation: fc.bigInt(0n, 2n ** 64n - 1n),
    counter: fc.bigInt(0n, 2n ** 64n - 1n),
    slice: fc.string({ maxLength: 20 }),
    payload: fc.uint8Array({ maxLength: 200 }),
});

function createReceiver(replayGuard: ReplayGuard = createReplayGuard()) {
    const counters = createPeerCounters();
    const handled: string[] = [];
    const receive = createEnvelopeReceiver({
        self: core.vmId("b"),
        incarnation: 9n,
        secret,
        counters,
        replayGuard,
        handlerOf: slice =>
            slice !== "echo" ? undefined : async (from, payload) => {
                handled.push(from);
                return ok(payload);
            },
    });
    return { counters, handled, receive, replayGuard };
}

const sealed = (change: Partial<codec.EnvelopeFields> = {}) =>
    codec.sealEnvelope(secret, {
        sender: "a",
        incarnation: 5n,
        receiver: "b",
        receiverIncarnation: 9n,
        counter: 1n,
        slice: "echo",
        payload: new Uint8Array([1]),
        ...change,
    });

describe("EnvelopeCodec", () => {
    it("accepts what it sealed, after a trip through the wire format", () => {
        fc.assert(
            fc.property(fieldsArbitrary, fields => {
                const bytes = protobuf.toBinary(EnvelopeSchema, codec.sealEnvelope(secret, fields));
                return codec.isAuthenticEnvelope(secret, protobuf.fromBinary(EnvelopeSchema, bytes));
            }),
            fuzz,
        );
    });

    it("rejects an envelope with any byte changed, cut or added", () => {
        fc.assert(
            fc.property(fieldsArbitrary, fc.nat(), fc.integer({ min: 1, max: 255 }), (fields, position, mask) => {
                const original = codec.sealEnvelope(secret, fields);
                const bytes = protobuf.toBinary(EnvelopeSchema, original);
                bytes[position % bytes.length]! ^= mask;
                try {
                    const changed = protobuf.fromBinary(EnvelopeSchema, bytes);
                    return protobuf.equals(EnvelopeSchema, changed, original)
                        || !codec.isAuthenticEnvelope(secret, changed);
                }
                catch (error) {
                    return error instanceof Error;
                }
            }),
            fuzz,
        );
    });

    it("rejects bytes that moved from one field to the next", () => {
        const moved = { ...sealed({ sender: "ab", receiver: "c" }), sender: "a", receiver: "bc" };
        assert.equal(codec.isAuthenticEnvelope(secret, moved), false);
    });
});

describe("EnvelopeReceiver", () => {
    it("neither crashes on random envelopes nor remembers their senders", async () => {
        const { receive, counters, replayGuard } = createReceiver();
        await fc.assert(
            fc.asyncProperty(fieldsArbitrary, fc.uint8Array({ maxLength: 40 }), async (fields, mac) => {
                const reply = await receive(protobuf.create(EnvelopeSchema, { ...fields, mac }));
                assert.equal(reply.mac.length, 0);
            }),
            fuzz,
        );
        assert.equal(counters.refusedMac, fuzz.numRuns);
        assert.equal(replayGuard.size(), 0);
    });

    it("forgets the sender silent longest when there are too many", async () => {
        const { receive, replayGuard } = createReceiver(createReplayGuard(10));
        for (let index = 0; index < 50; index++) {
            await receive(sealed({ sender: `sender-${index}` }));
        }
        assert.equal(replayGuard.size(), 10);
    });

    const refusals = [
        ["a wrong receiver", sealed({ counter: 1_999n, receiver: "c" }), "refusedReceiver", Outcome.REFUSED],
        ["an unknown slice", sealed({ counter: 1_999n, slice: "nothing" }), "refusedSlice", Outcome.REFUSED],
        [
            "an oversized payload",
            sealed({ counter: 1_999n, payload: new Uint8Array(1_500_001) }),
            "refusedSize",
            Outcome.REFUSED,
        ],
        ["an old incarnation", sealed({ incarnation: 4n }), "refusedOldIncarnation", Outcome.REPEATED],
        ["an earlier run of itself", sealed({ receiverIncarnation: 8n }), "refusedOtherRun", Outcome.REPEATED],
        ["a repeated counter", sealed({ counter: 2_000n }), "refusedReplay", Outcome.REPEATED],
        ["a counter behind the window", sealed({ counter: 976n }), "refusedReplay", Outcome.REPEATED],
    ] as const;
    refusals.forEach(([fault, envelope, counter, outcome]) =>
        it(`refuses ${fault} and says so`, async () => {
            const { receive, counters, handled } = createReceiver();
            await receive(sealed({ counter: 2_000n }));
            const reply = await receive(envelope);
            assert.equal(reply.outcome, outcome);
            assert.notEqual(reply.error, "");
            assert.equal(counters[counter], 1);
            assert.equal(handled.length, 1);
        })
    );

    it("handles each counter of the window exactly once, in any order", async () => {
        const order = fc.array(fc.integer({ min: 1, max: 1_024 }), { minLength: 1, maxLength: 200 });
        await fc.assert(
            fc.asyncProperty(order, async counters => {
                const { receive, handled } = createReceiver();
                for (const counter of counters) {
                    await receive(sealed({ counter: BigInt(counter) }));
                }
                assert.equal(handled.length, new Set(counters).size);
            }),
            { ...fuzz, numRuns: 50 },
        );
    });

    it("lets a broken guard without a window be caught by the same check", async () => {
        const { receive, handled } = createReceiver({ check: () => undefined, size: () => 0 });
        await receive(sealed());
        await receive(sealed());
        assert.equal(handled.length, 2);
    });

    it("answers a greeting with its incarnation and hands nothing to a handler", async () => {
        const { receive, handled } = createReceiver();
        const reply = await receive(sealed({ receiverIncarnation: 0n }));
        assert.deepEqual([reply.outcome, reply.incarnation, handled.length], [Outcome.GREETED, 9n, 0]);
    });

    it("gives no reply to a copy sent elsewhere that passes for the real receiver's", async () => {
        const request = sealed({ receiver: "c" });
        const refusal = await createReceiver().receive(request);
        assert.equal(codec.isAuthenticReply(secret, request, refusal), false);
    });
});
