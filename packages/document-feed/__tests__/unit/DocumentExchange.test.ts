import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import { err, ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createDocumentExchange } from "../../src/DocumentExchange.js";
import type { ActiveDocument } from "../../src/DocumentFeed.js";
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

function adopt(store: DocumentStore, text: string): ActiveDocument {
    const received = { text, source: "test" };
    const parsed = store.parse(received)._unsafeUnwrap();
    store.adopt(parsed, received);
    return parsed;
}

/** Creates a requesting VM and a peer that holds a document; records the size of each reply. */
function createPair(change: (reply: Uint8Array) => Uint8Array = reply => reply, history?: PatchHistory) {
    const holder = createStore(history);
    const replySizes: number[] = [];
    const unreachableTransport: core.PeerTransport = {
        call: async () => err({ kind: "unreachable", message: "none" }),
    };
    const { handler } = createDocumentExchange(unreachableTransport, holder);
    const requester = createDocumentExchange({
        async call(_to, _slice, payload) {
            const reply = (await handler(peer, payload))._unsafeUnwrap();
            replySizes.push(reply.length);
            return ok(change(reply));
        },
    }, createStore());
    return { holder, requester, replySizes };
}

describe("DocumentExchange", () => {
    const maxPeerPayloadBytes = 1_500_000;
    const maxKeyCount = 9_000;

    it("transfers a full document of almost 1 MB within the payload limit of peering", async () => {
        const { holder, requester, replySizes } = createPair();
        const text = textOf(1, maxKeyCount);
        assert.ok(text.length > 900_000);
        adopt(holder, text);
        assert.equal((await requester.fetch(peer, undefined))._unsafeUnwrap()?.text, text);
        assert.ok(replySizes[0]! < maxPeerPayloadBytes);
    });

    it("sends only patches to a VM that holds a recent version", async () => {
        const { holder, requester, replySizes } = createPair();
        const first = adopt(holder, textOf(1, maxKeyCount));
        [2, 3, 4].forEach(version => adopt(holder, textOf(version, maxKeyCount)));
        assert.equal((await requester.fetch(peer, first))._unsafeUnwrap()?.text, textOf(4, maxKeyCount));
        assert.ok(replySizes[0]! < 500, `${replySizes[0]} bytes`);
    });

    it("detects a history that keeps no patches", async () => {
        const { holder, requester, replySizes } = createPair(undefined, {
            add: () => undefined,
            patchesFrom: () => undefined,
        });
        const first = adopt(holder, textOf(1, maxKeyCount));
        adopt(holder, textOf(2, maxKeyCount));
        assert.ok((await requester.fetch(peer, first)).isOk());
        assert.ok(replySizes[0]! > 500);
    });

    it("requests the full document if the patches do not produce the announced text", async () => {
        const wrongPatches: PatchHistory = {
            add: () => undefined,
            patchesFrom: digest => [{ fromDigest: digest, toDigest: "", patch: { r: { version: 9 } }, indent: 0 }],
        };
        const { holder, requester, replySizes } = createPair(undefined, {
            ...wrongPatches,
            patchesFrom: digest => digest === "" ? undefined : wrongPatches.patchesFrom(digest),
        });
        const first = adopt(holder, textOf(1, 10));
        adopt(holder, textOf(2, 10));
        assert.equal((await requester.fetch(peer, first))._unsafeUnwrap()?.text, textOf(2, 10));
        assert.equal(replySizes.length, 2);
    });

    it("rejects a document that was corrupted in transit", async () => {
        const { holder, requester } = createPair(reply => reply.map((byte, index) => index === 60 ? byte ^ 1 : byte));
        adopt(holder, textOf(1, 100));
        assert.ok((await requester.fetch(peer, undefined)).isErr());
    });

    it("sends no document to a VM that has the same version", async () => {
        const { holder, requester } = createPair();
        const current = adopt(holder, textOf(3, 1));
        assert.equal((await requester.fetch(peer, current))._unsafeUnwrap(), undefined);
        assert.deepEqual((await requester.requestVersion(peer))._unsafeUnwrap(), {
            version: 3,
            digest: current.digest,
        });
    });
});
