import * as testing from "@peridotloft/testing";
import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createOverloadRetryChooser, type PeerLoad, planOverloadRetry } from "../../src/OverloadRetry.js";

const load = (refusedShare: number, overrides: Partial<PeerLoad> = {}): PeerLoad => ({
    isSameZone: true,
    refusedShare,
    ageMs: 300,
    ...overrides,
});

/** Lower and upper bound of the waits in ms. */
const rangeOf = (loads: readonly PeerLoad[]) => planOverloadRetry(loads).rangeMs?.map(Math.round);

describe("OverloadRetry", () => {
    it("sends callers back promptly while at least half of the other VMs refuse nothing", () => {
        assert.deepEqual(rangeOf([load(0)]), [25, 75]);
        assert.deepEqual(rangeOf([load(0), load(0.9)]), [25, 75]);
    });

    it("lets callers wait in proportion to what the other VMs refuse", () => {
        assert.deepEqual(rangeOf([load(0.1)]), [174, 226]);
        assert.deepEqual(rangeOf([load(0), load(0.9), load(0.9)]), [291, 378]);
        assert.deepEqual(rangeOf([load(1)]), [385, 501]);
    });

    it("prefers what it knows of the zone, and ignores loads that are too old", () => {
        const otherZone = load(0, { isSameZone: false, ageMs: 900 });
        assert.deepEqual(rangeOf([load(1), otherZone]), [385, 501]);
        assert.deepEqual(planOverloadRetry([load(1, { ageMs: 2_001 }), otherZone]), {
            rangeMs: [25, 75],
            knownPeers: 1,
            freePeers: 1,
            oldestLoadMs: 900,
        });
    });

    it("leaves the default if no load is known", () => {
        assert.equal(rangeOf([load(0, { ageMs: 2_001 })]), undefined);
    });
});

const callerCount = 8_000;
const defaultRetryAfterMs = 150;
const maxTries = 5;
const serviceMs = 40;
/** Processor time of a refusal relative to that of a served request. */
const refusalCost = 0.15;

/**
 * Plays callers, one per ms, with objectives of 121 to 600 ms. The load balancer spreads their tries over VMs with given
 * capacities in requests/s, which adjust the share that they refuse every 100 ms and announce it every 500 ms.
 */
async function playCallers(capacities: readonly number[], knowsPeers: boolean) {
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(3);
    const vms = capacities.map(capacity => ({ capacity, refusedShare: 0, announced: 0, announcedMs: 0, used: 0 }))
        .map((vm, _, all) =>
            Object.assign(vm, {
                chooseRetry: createOverloadRetryChooser({
                    clock,
                    random,
                    peerLoads: () =>
                        all
                            .filter(other => knowsPeers && other !== vm)
                            .map(({ announced, announcedMs }) =>
                                load(announced, { ageMs: clock.nowMs() - announcedMs })
                            ),
                }),
            })
        );
    let onTime = 0;
    let arrivals = 0;
    const attempt = (endMs: number, triesLeft: number): void => {
        const vm = vms[Math.floor(random() * vms.length)]!;
        arrivals++;
        if (random() >= vm.refusedShare) {
            vm.used++;
            // A VM that is out of capacity serves late.
            const waitMs = Math.max(0, vm.used / vm.capacity * 1_000 - 100);
            onTime += clock.nowMs() + waitMs + serviceMs <= endMs ? 1 : 0;
            return;
        }
        vm.used += refusalCost;
        const { retryAfterMs = defaultRetryAfterMs } = vm.chooseRetry();
        if (triesLeft > 1 && clock.nowMs() + retryAfterMs < endMs) {
            clock.setTimer(retryAfterMs, () => attempt(endMs, triesLeft - 1));
        }
    };
    for (let index = 0; index < callerCount; index++) {
        clock.setTimer(index, () => attempt(clock.nowMs() + 121 + 479 * random(), maxTries));
    }
    for (let tick = 1; tick <= callerCount / 100; tick++) {
        clock.setTimer(tick * 100, () =>
            vms.forEach(vm => {
                const utilization = vm.used / vm.capacity * 10;
                const change = utilization >= 0.92 ? 0.1 : utilization < 0.8 ? -0.04 : 0;
                vm.refusedShare = Math.min(0.9, Math.max(0, vm.refusedShare + change));
                vm.used = Math.max(0, vm.used - vm.capacity / 10);
                if (tick % 5 === 0) {
                    vm.announced = vm.refusedShare;
                    vm.announcedMs = clock.nowMs();
                }
            }));
    }
    await clock.advance(callerCount + 1_000);
    return { onTimeShare: onTime / callerCount, arrivals };
}

describe("callers of overloaded VMs", () => {
    [[100, 1_500], [100, 1_000, 1_000]].forEach(capacities =>
        it(`more of them are served on time while one of ${capacities.length} VMs is overloaded`, async () => {
            const [before, after] = [await playCallers(capacities, false), await playCallers(capacities, true)];
            assert.ok(after.onTimeShare > before.onTimeShare + 0.03, JSON.stringify({ before, after }));
        })
    );

    [[300, 300], [330, 330, 330]].forEach(capacities =>
        it(`arrive less often, and are served on time more often, while all ${capacities.length} VMs are overloaded`, async () => {
            const [before, after] = [await playCallers(capacities, false), await playCallers(capacities, true)];
            assert.ok(after.arrivals < before.arrivals, JSON.stringify({ before, after }));
            assert.ok(after.onTimeShare > before.onTimeShare, JSON.stringify({ before, after }));
        })
    );
});
