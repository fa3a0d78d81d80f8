import * as core from "@peridotloft/core";
import * as assert from "node:assert/strict";
import type * as http from "node:http";
import { Readable } from "node:stream";
import { describe, it } from "node:test";
import type { CallerResponse } from "../../src/CallerResponse.js";
import { createEventSplitter } from "../../src/EventSplitter.js";
import { relayStream } from "../../src/ResponseRelay.js";

describe("relayStream", () => {
    it("watches for stalls no longer once it has ended, also if the caller reads on afterwards", async () => {
        const message = Object.assign(new Readable({ read: () => undefined }), {
            headers: { "transfer-encoding": "chunked" },
            complete: false,
            socket: {},
        });
        let stalls = 0;
        let drain: () => void = () => undefined;
        const callerResponse = {
            hasBegun: () => true,
            hasEnded: () => false,
            write(_: Buffer, onDrain: () => void) {
                drain = onDrain;
                return false;
            },
        } as unknown as CallerResponse;
        const { outcome } = relayStream(message as unknown as http.IncomingMessage, createEventSplitter(), {
            callerResponse,
            begin: () => undefined,
            onFirstEvent: () => undefined,
            stallWatch: {
                clock: core.createSteadyClock(),
                timeoutMs: 20,
                onStalled: () => void stalls++,
                onProgress: () => undefined,
            },
        });
        message.push("id: 1\ndata: x\n\n");
        await new Promise(resolve => setTimeout(resolve, 10));
        message.destroy(new Error("reset"));
        assert.equal(await outcome, "broken");
        drain();
        await new Promise(resolve => setTimeout(resolve, 100));
        assert.equal(stalls, 0);
    });
});
