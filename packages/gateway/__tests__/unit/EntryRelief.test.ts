import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createEntryRelief, type EntryRelief } from "../../src/EntryRelief.js";
import type { PeerLoad } from "../../src/OverloadRetry.js";

const free: PeerLoad = { isSameZone: true, refusedShare: 0, ageMs: 500 };
const busy: PeerLoad = { ...free, refusedShare: 0.1 };

describe("EntryRelief", () => {
    let clock: testing.VirtualClock;
    let log: ReturnType<typeof testing.createRecordingLog>;
    let peers: readonly PeerLoad[];
    let relief: EntryRelief;
    beforeEach(() => {
        clock = testing.createVirtualClock();
        log = testing.createRecordingLog();
        peers = [free, free, free];
        relief = createEntryRelief({ clock, log, peerLoads: () => peers });
    });

    it("is requested from the first refusal to the last one", () => {
        relief.update(0);
        assert.equal(relief.isRequested(), false);
        relief.update(0.1);
        assert.ok(relief.isRequested());
        relief.update(0.2);
        assert.ok(relief.isRequested());
        relief.update(0);
        assert.equal(relief.isRequested(), false);
        assert.deepEqual(log.lines.map(({ event }) => event), ["entry-relief-requested", "entry-relief-ended"]);
    });

    const withoutRoom: readonly (readonly [string, readonly PeerLoad[]])[] = [
        ["half of them refuse callers themselves", [free, free, free, busy, busy, busy, busy]],
        ["there are two only", [free, free]],
        ["they are in other zones", [free, free, { ...free, isSameZone: false }]],
        ["nothing has been heard of them lately", [free, free, { ...free, ageMs: 4_001 }]],
    ];
    withoutRoom.forEach(([text, loads]) =>
        it(`is not requested from other VMs if ${text}, and ends then`, () => {
            relief.update(0.5);
            assert.ok(relief.isRequested());
            peers = loads;
            relief.update(0.5);
            assert.equal(relief.isRequested(), false);
            relief.update(0.9);
            assert.equal(relief.isRequested(), false);
        })
    );
});
