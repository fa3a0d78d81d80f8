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

const signed = (change: Partial<codec.EnvelopeFields> = {}) =>
    codec.signEnvelope(secret, {
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
    it("accepts a signed envelope after encoding and decoding", () => {
        fc.assert(
            fc.property(fieldsArbitrary, fields => {
                const bytes = protobuf.toBinary(EnvelopeSchema, codec.signEnvelope(secret, fields));
                return codec.isAuthenticEnvelope(secret, protobuf.fromBinary(EnvelopeSchema, bytes));
            }),
            fuzz,
        );
    });

    it("rejects an envelope with any byte changed", () => {
        fc.assert(
            fc.property(fieldsArbitrary, fc.nat(), fc.integer({ min: 1, max: 255 }), (fields, position, mask) => {
                const original = codec.signEnvelope(secret, fields);
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

    it("rejects an envelope with bytes shifted between adjacent fields", () => {
        const moved = { ...signed({ sender: "ab", receiver: "c" }), sender: "a", receiver: "bc" };
        assert.equal(codec.isAuthenticEnvelope(secret, moved), false);
    });
});

describe("EnvelopeReceiver", () => {
    it("handles random envelopes without crashing or storing their senders", async () => {
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

    it("evicts the least recently active sender when there are too many", async () => {
        const { receive, replayGuard } = createReceiver(createReplayGuard(10));
        for (let index = 0; index < 50; index++) {
            await receive(signed({ sender: `sender-${index}` }));
        }
        assert.equal(replayGuard.size(), 10);
    });

    const refusals = [
        ["a wrong receiver", signed({ counter: 1_999n, receiver: "c" }), "refusedReceiver", Outcome.REFUSED],
        ["an unknown slice", signed({ counter: 1_999n, slice: "nothing" }), "refusedSlice", Outcome.REFUSED],
        [
            "an oversized payload",
            signed({ counter: 1_999n, payload: new Uint8Array(1_500_001) }),
            "refusedSize",
            Outcome.REFUSED,
        ],
        ["an old incarnation of the sender", signed({ incarnation: 4n }), "refusedOldIncarnation", Outcome.REPEATED],
        [
            "an envelope for an earlier run of the receiver",
            signed({ receiverIncarnation: 8n }),
            "refusedOtherRun",
            Outcome.REPEATED,
        ],
        ["a repeated counter", signed({ counter: 2_000n }), "refusedReplay", Outcome.REPEATED],
        ["a counter older than the replay window", signed({ counter: 976n }), "refusedReplay", Outcome.REPEATED],
    ] as const;
    refusals.forEach(([fault, envelope, counter, outcome]) =>
        it(`refuses ${fault} with a reason`, async () => {
            const { receive, counters, handled } = createReceiver();
            await receive(signed({ counter: 2_000n }));
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
                    await receive(signed({ counter: BigInt(counter) }));
                }
                assert.equal(handled.length, new Set(counters).size);
            }),
            { ...fuzz, numRuns: 50 },
        );
    });

    it("handles a counter twice with a replay guard that accepts everything (shows that the check above can fail)", async () => {
        const { receive, handled } = createReceiver({ check: () => undefined, size: () => 0 });
        await receive(signed());
        await receive(signed());
        assert.equal(handled.length, 2);
    });

    it("replies to a handshake with its incarnation and calls no handler", async () => {
        const { receive, handled } = createReceiver();
        const reply = await receive(signed({ receiverIncarnation: 0n }));
        assert.deepEqual([reply.outcome, reply.incarnation, handled.length], [Outcome.GREETED, 9n, 0]);
    });

    it("does not produce a valid reply to a copy of a request that was sent to another VM", async () => {
        const request = signed({ receiver: "c" });
        const refusal = await createReceiver().receive(request);
        assert.equal(codec.isAuthenticReply(secret, request, refusal), false);
    });
});
