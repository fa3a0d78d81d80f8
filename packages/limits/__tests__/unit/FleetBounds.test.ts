import * as assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as limits from "../../src/index.js";
import * as fleets from "./LimiterFleet.js";

const vmCount = 12;
const command = "node scripts/run-tests.mjs limits/dist/__tests__/unit/FleetBounds";
const roundingCost = 1e-6;
const maxWrongfulShare = 0.001;

type Create = (variant?: fleets.LimiterVariant, restartVariant?: fleets.LimiterVariant) => fleets.LimiterFleet;

const createWith = (seed: number): Create => (variant = {}, restartVariant = variant) =>
    fleets.createLimiterFleet({ seed, document: fleets.createDocument({ vmCount }), variant, restartVariant });

/** Offers ten times the rate. */
const offerFlood = (fleet: fleets.LimiterFleet, durationMs: number, pickVm?: () => number): void => {
    const fromMs = fleet.clock.nowMs();
    fleets.offerTraffic(fleet, {
        fromMs,
        toMs: fromMs + durationMs,
        costPerS: fleets.ratePerS * 10,
        requestCost: 8,
        pickVm: pickVm ?? (() => Math.floor(fleet.random() * vmCount)),
    });
};

/** Offers 90% of the rate. */
const offerWithinRate = (fleet: fleets.LimiterFleet, durationMs: number, pickVm: (atMs: number) => number): void => {
    const fromMs = fleet.clock.nowMs();
    const costPerS = fleets.ratePerS * 0.9;
    fleets.offerTraffic(fleet, { fromMs, toMs: fromMs + durationMs, costPerS, requestCost: 4, pickVm });
};

/** Replaces functions of the default bucket. */
const changeBucket = (change: (bucket: limits.TokenBucket) => Partial<limits.TokenBucket>): fleets.LimiterVariant => ({
    createBucket(share, accrueFromMs) {
        const bucket = limits.createTokenBucket(share, accrueFromMs);
        return { ...bucket, ...change(bucket) };
    },
});

describe("rate*t + burst over every interval", () => {
    const expectWithinBound = (excess: number, seed: number): void =>
        assert.ok(excess <= roundingCost, `seed ${seed}: ${excess} over the bound; repeat with ${command}`);

    describe("loans and tokens of one bucket together", () => {
        const seed = 41;
        // Smaller than the outstanding loans, so that a lender that does not count them fills its buckets again.
        const smallBurst = 100;
        const createWithSmallBurst = (variant: fleets.LimiterVariant): fleets.LimiterFleet =>
            fleets.createLimiterFleet({
                seed,
                document: fleets.createDocument({ vmCount, burstCost: smallBurst }),
                variant,
            });
        async function measure(fleet: fleets.LimiterFleet): Promise<number> {
            await fleet.advance(fleets.warmUpMs);
            const borrowers = Array.from({ length: vmCount }, (_unused, vm) => vm)
                .filter(vm => [0, 1, 2, 3].every(bucket => fleet.ownerOf(bucket) !== vm))
                .slice(0, 3);
            offerWithinRate(fleet, 4_000, () => borrowers[Math.floor(fleet.random() * 3)]!);
            await fleet.advance(4_000);
            // The borrowers have loans for the next second; the flood spends these and the tokens of the buckets.
            offerFlood(fleet, 1_000);
            await fleet.advance(2_000);
            return fleets.worstExcess(fleet, fleets.ratePerS, smallBurst);
        }

        it("stay within the bound", async () => expectWithinBound(await measure(createWithSmallBurst({})), seed));

        it("detects a lender that does not count outstanding loans", async () => {
            const notCountingLoans = changeBucket(bucket => ({
                lend: bucket.spend,
                writeOff: () => undefined,
                reclaim: bucket.credit,
            }));
            assert.ok(await measure(createWithSmallBurst(notCountingLoans)) > 0);
        });
    });

    describe("a restarted owner", () => {
        const seed = 42;
        async function measure(fleet: fleets.LimiterFleet): Promise<number> {
            await fleet.advance(fleets.warmUpMs);
            offerFlood(fleet, 6_000);
            [0, 1, 2, 3].forEach(bucket => fleet.at(1_000 + bucket * 900, () => fleet.restart(fleet.ownerOf(bucket))));
            await fleet.advance(6_500);
            return fleets.worstExcess(fleet);
        }

        it("stays within the bound", async () => expectWithinBound(await measure(createWith(seed)()), seed));

        it("detects a restarted bucket that starts full", async () => {
            const startingFull: fleets.LimiterVariant = {
                createBucket(share) {
                    const bucket = limits.createTokenBucket(share, 0);
                    bucket.credit(share.burst);
                    return bucket;
                },
            };
            assert.ok(await measure(createWith(seed)({}, startingFull)) > 0);
        });
    });

    describe("a borrower that is paused before the reply arrives", () => {
        const seed = 43;
        async function measure(fleet: fleets.LimiterFleet): Promise<number> {
            await fleet.advance(fleets.warmUpMs);
            const borrower = [0, 1, 2, 3, 4].find(vm => [0, 1, 2, 3].every(bucket => fleet.ownerOf(bucket) !== vm))!;
            const request = fleet.send(borrower, 300);
            fleet.pause(borrower);
            // Long enough for the lenders to write off the loans and for the buckets to fill again.
            await fleet.advance(6_000);
            offerFlood(fleet, 1_000, () => (borrower + 1 + Math.floor(fleet.random() * (vmCount - 1))) % vmCount);
            await fleet.advance(1_000);
            fleet.resume(borrower);
            await fleet.advance(1_000);
            await request;
            return fleets.worstExcess(fleet);
        }

        it("cannot spend the loan after its lifetime", async () =>
            expectWithinBound(await measure(createWith(seed)()), seed));

        it("detects a loan whose lifetime starts at the receipt of the reply", async () => {
            const fromReceipt = {
                loanExpiryMs: (timing: limits.LoanTiming) => timing.receivedAtMs + timing.lifetimeMs,
            };
            assert.ok(await measure(createWith(seed)(fromReceipt)) > 0);
        });
    });

    describe("requests that cost more or less than estimated", () => {
        it("exceed the bound by no more than the settlements in flight (guards against lost or repeated settlements)", async () => {
            const seed = 44;
            const fleet = fleets.createLimiterFleet({ seed, document: fleets.createDocument({ vmCount }) });
            await fleet.advance(fleets.warmUpMs);
            const sendNext = (left: number): void => {
                const vm = Math.floor(fleet.random() * vmCount);
                void fleet.send(vm, 8, 16 * fleet.random(), 100 + 3_000 * fleet.random());
                if (left > 0) {
                    fleet.at(40, () => sendNext(left - 1));
                }
            };
            sendNext(500);
            await fleet.advance(24_000);
            // A debt reaches its owner within a loan lifetime, a check period and two calls.
            const reportMs = fleets.loanLifetimeMs * 9 / 8 + 100;
            const admitted = fleet.requests.filter(request => request.admitted);
            const errorAt = (atMs: number): number =>
                admitted.filter(({ endedMs = 0, settledMs = 0 }) => endedMs <= atMs && atMs <= settledMs + reportMs)
                    .reduce((total, { cost, actualCost = cost }) => total + Math.abs(actualCost - cost), 0);
            const worstError = Math.max(...admitted.map(({ endedMs = 0 }) => errorAt(endedMs)));
            const excess = fleets.worstExcess(fleet);
            assert.ok(admitted.length > 300, `${admitted.length} admitted`);
            // Counted once for requests in flight when the interval begins and once for those when it ends.
            assert.ok(excess <= 2 * worstError, `seed ${seed}: ${excess} over the bound, error ${worstError}`);
        });
    });

    describe("a change of rate, burst and bucket count", () => {
        it("keeps the bound of the larger rate at every stage (guards against shares that add up to more than the rate)", async () => {
            const seed = 45;
            const shape = { vmCount };
            const versions = [
                fleets.createDocument({ ...shape, version: 2, bucketsPerCustomer: 8 }),
                fleets.createDocument({
                    ...shape,
                    version: 3,
                    bucketsPerCustomer: 2,
                    rateCostPerS: 100,
                    burstCost: 150,
                }),
                fleets.createDocument({ ...shape, version: 4, bucketsPerCustomer: 5 }),
            ];
            const fleet = fleets.createLimiterFleet({
                seed,
                document: fleets.createDocument(shape),
                heartbeats: true,
            });
            await fleet.advance(fleets.warmUpMs);
            offerFlood(fleet, 16_000);
            versions.forEach((version, order) =>
                Array.from(
                    { length: vmCount },
                    (_unused, vm) =>
                        fleet.at(500 + order * 4_500 + fleet.random() * 4_000, () => fleet.adopt(vm, version)),
                )
            );
            await fleet.advance(17_000);
            expectWithinBound(fleets.worstExcess(fleet), seed);
            const recentlyMs = fleet.clock.nowMs() - 3_000;
            assert.ok(fleet.requests.some(request => request.admitted && request.atMs > recentlyMs));
        });
    });
});

describe("wrongful refusals", () => {
    const describeRefusals = (seed: number, result: fleets.Refusals): string =>
        `seed ${seed}: ${JSON.stringify(result)}; repeat with ${command}`;

    describe("with all VMs connected", () => {
        const seed = 51;
        async function measure(fleet: fleets.LimiterFleet): Promise<fleets.Refusals> {
            await fleet.advance(fleets.warmUpMs);
            offerWithinRate(fleet, 40_000, atMs => Math.floor(atMs / 900) % vmCount);
            await fleet.advance(41_000);
            return fleets.compareWithReference(fleet);
        }

        it("stay under 0.1%", async () => {
            const result = await measure(createWith(seed)());
            assert.ok(result.wrongful < result.offered * maxWrongfulShare, describeRefusals(seed, result));
        });

        it("detects a lender that discards returned tokens", async () => {
            const discardingReturns = changeBucket(bucket => ({ reclaim: bucket.writeOff }));
            const result = await measure(createWith(seed)(discardingReturns));
            assert.ok(result.wrongful > result.offered * maxWrongfulShare, describeRefusals(seed, result));
        });

        it("admits a cost larger than a bucket's burst share", async () => {
            const fleet = createWith(52)();
            await fleet.advance(fleets.warmUpMs);
            for (let round = 0; round < 40; round++) {
                void fleet.send(round % vmCount, fleets.burst * 0.6);
                await fleet.advance(fleets.burst * 0.6 / fleets.ratePerS * 1_000 / 0.9);
            }
            const result = fleets.compareWithReference(fleet);
            assert.equal(result.isWithinRate, true);
            assert.equal(result.wrongful, 0, describeRefusals(52, result));
        });
    });

    describe("while some VMs cannot reach each other", () => {
        interface Partition {
            readonly unreachableBuckets: number;
            readonly entry: number;
        }

        type ApplyPartition = (fleet: fleets.LimiterFleet) => Partition;

        const splitInHalf: ApplyPartition = fleet => {
            const group = [0, 1, 2, 3, 4, 5];
            fleet.network.isolate(group.map(fleet.idOf));
            const inGroup = [0, 1, 2, 3].filter(bucket => group.includes(fleet.ownerOf(bucket))).length;
            return { unreachableBuckets: inGroup, entry: 9 };
        };

        const dropReplies: ApplyPartition = fleet => {
            const owner = fleet.ownerOf(0);
            const entry = (owner + 1) % vmCount;
            fleet.network.partitionOneWay(fleet.idOf(owner), fleet.idOf(entry));
            const ofOwner = [0, 1, 2, 3].filter(bucket => fleet.ownerOf(bucket) === owner).length;
            return { unreachableBuckets: ofOwner, entry };
        };

        async function measure(fleet: fleets.LimiterFleet, applyPartition: ApplyPartition) {
            await fleet.advance(fleets.warmUpMs);
            const { unreachableBuckets, entry } = applyPartition(fleet);
            offerWithinRate(fleet, 25_000, () => entry);
            await fleet.advance(26_000);
            const result = fleets.compareWithReference(fleet);
            return { result, share: result.wrongful / result.offered, limit: unreachableBuckets / 4 };
        }

        Object.entries({ splitInHalf, dropReplies }).forEach(([name, applyPartition], index) => {
            it(`${name}: are at most the share of unreachable buckets`, async () => {
                const seed = 53 + index;
                const { result, share, limit } = await measure(createWith(seed)(), applyPartition);
                assert.ok(limit > 0 && limit < 1, `${limit} of the buckets are unreachable`);
                assert.ok(share <= limit, describeRefusals(seed, result));
            });
        });

        it("detects a lender that never writes off a loan", async () => {
            const neverWritingOff = changeBucket(() => ({ writeOff: () => undefined }));
            const { share, limit } = await measure(createWith(53)(neverWritingOff), splitInHalf);
            assert.ok(share > limit, `${share} refused wrongly with ${limit} of the buckets unreachable`);
        });
    });
});
