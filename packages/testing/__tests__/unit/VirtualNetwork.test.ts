import * as core from "@peridotloft/core";
import { ok } from "neverthrow";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as testing from "../../src/index.js";

const left = core.vmId("left");
const right = core.vmId("right");

function setUp() {
    const clock = testing.createVirtualClock();
    const network = testing.createVirtualNetwork({ clock, random: testing.createSeededRandom(1) });
    const sender = network.attach(left);
    network.attach(right).registerSlice("echo", async (_from, payload) => ok(payload));
    return { clock, network, call: () => sender.call(right, "echo", new Uint8Array([7]), 100) };
}

describe("VirtualNetwork", () => {
    it("delivers a call and its reply", async () => {
        const { clock, call } = setUp();
        const reply = call();
        await clock.advance(10);
        assert.deepEqual((await reply)._unsafeUnwrap(), new Uint8Array([7]));
    });

    it("times out when only the direction of the reply is partitioned", async () => {
        const { clock, network, call } = setUp();
        network.partitionOneWay(right, left);
        const reply = call();
        await clock.advance(100);
        assert.equal((await reply)._unsafeUnwrapErr().kind, "timeout");
    });

    it("delivers queued messages when a paused VM resumes", async () => {
        const { clock, network, call } = setUp();
        network.pause(right);
        const reply = call();
        await clock.advance(50);
        network.resume(right);
        await clock.advance(20);
        assert.ok((await reply).isOk());
    });
});
