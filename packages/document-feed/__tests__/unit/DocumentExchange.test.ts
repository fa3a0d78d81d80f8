import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDocumentExchange } from "../../src/DocumentExchange.js";
import type { DocumentInForce } from "../../src/DocumentFeed.js";
import { createDocumentStore, type DocumentStore } from "../../src/DocumentStore.js";
import { createPatchHistory, type PatchHistory } from "../../src/PatchHistory.js";

const peer = core.vmId("peer");

function textOf(version: number, keys: number): string {
    return JSON.stringify({
        version,
        zones: [{ id: "a", region: "r" }],
        vms: [{ id: "peer", zone: "a", peerAddress: "127.0.0.1:1" }],
        customers: [{ id: "c", rateCostPerS: version, burstCost: 1 }],
        keys: Array.from({ length: keys }, (_, index) => ({
            id: `k${index}`,
            customer: "c",
            sha256: documents.digestOf(`key ${index}`),
        })),
        pools: [{
            id: "p",
            kind: "service",
            upstreams: [{ id: "u", zone: "a", url: "http://127.0.0.1:1", slots: 1, coldSlots: 1 }],
        }],
    });
}

function createStore(history: PatchHistory = createPatchHistory()): DocumentStore {
    return createDocumentStore({
        clock: core.createSystemClock(),
        history,
        isNewer: (candidate, current) => candidate > current,
        onAdopted: () => undefined,
    });
}

function put(store: DocumentStore, text: string): DocumentInForce {
    const offered = { text, source: "test" };
    const document = store.parse(offered)._unsafeUnwrap();
    store.adopt(document, offered);
    return document;
}

/** A VM that asks, a peer that answers, and the size of each answer. */
function createPair(change: (answer: Uint8Array) => Uint8Array = answer => answer, history?: PatchHistory) {
    const holder = createStore(history);
    const answers: number[] = [];
    const none: core.PeerTransport = { call: async () => err({ kind: "unreachable", message: "none" }) };
    const { handler } = createDocumentExchange(none, holder);
    const asking = createDocumentExchange({
        async call(_to, _slice, payload) {
            const answer = (await handler(peer, payload))._unsafeUnwrap();
            answers.push(answer.length);
            return ok(change(answer));
        },
    }, createStore());
    return { holder, asking, answers };
}

describe("DocumentExchange", () => {
    const maxPeerPayloadBytes = 1_500_000;
    const largest = 9_000;

    it("passes a document of almost 1 MB whole within the limit of peering", async () => {
        const { holder, asking, answers } = createPair();
        const text = textOf(1, largest);
        assert.ok(text.length > 900_000);
        put(holder, text);
        assert.equal((await asking.fetch(peer, undefined))._unsafeUnwrap()?.text, text);
        assert.ok(answers[0]! < maxPeerPayloadBytes);
    });

    it("passes only the steps to a VM that holds a recent version", async () => {
        const { holder, asking, answers } = createPair();
        const first = put(holder, textOf(1, largest));
        [2, 3, 4].forEach(version => put(holder, textOf(version, largest)));
        assert.equal((await asking.fetch(peer, first))._unsafeUnwrap()?.text, textOf(4, largest));
        assert.ok(answers[0]! < 500, `${answers[0]} bytes`);
    });

    it("is caught by the same check when no steps are kept", async () => {
        const { holder, asking, answers } = createPair(undefined, {
            add: () => undefined,
            stepsFrom: () => undefined,
        });
        const first = put(holder, textOf(1, largest));
        put(holder, textOf(2, largest));
        assert.ok((await asking.fetch(peer, first)).isOk());
        assert.ok(answers[0]! > 500);
    });

    it("asks for the whole document when the steps do not give the announced text", async () => {
        const wrong: PatchHistory = {
            add: () => undefined,
            stepsFrom: digest => [{ fromDigest: digest, toDigest: "", patch: { r: { version: 9 } }, indent: 0 }],
        };
        const { holder, asking, answers } = createPair(undefined, {
            ...wrong,
            stepsFrom: digest => digest === "" ? undefined : wrong.stepsFrom(digest),
        });
        const first = put(holder, textOf(1, 10));
        put(holder, textOf(2, 10));
        assert.equal((await asking.fetch(peer, first))._unsafeUnwrap()?.text, textOf(2, 10));
        assert.equal(answers.length, 2);
    });

    it("refuses a document that was damaged on the way", async () => {
        const { holder, asking } = createPair(answer => answer.map((byte, index) => index === 60 ? byte ^ 1 : byte));
        put(holder, textOf(1, 100));
        assert.ok((await asking.fetch(peer, undefined)).isErr());
    });

    it("answers nothing new to a VM that is as far", async () => {
        const { holder, asking } = createPair();
        const current = put(holder, textOf(3, 1));
        assert.equal((await asking.fetch(peer, current))._unsafeUnwrap(), undefined);
        assert.deepEqual((await asking.askVersion(peer))._unsafeUnwrap(), { version: 3, digest: current.digest });
    });
});
