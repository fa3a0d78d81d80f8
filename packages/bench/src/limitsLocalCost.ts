import * as core from "@peridotloft/core";
import * as limits from "@peridotloft/limits";
import * as ownership from "@peridotloft/ownership";
import * as testing from "@peridotloft/testing";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createTrace, customerIdOf } from "./limitsTrace.js";

export interface LocalCost {
    /** CPU time in µs of one admission and its settlement at a VM that owns the buckets. */
    readonly cpuUsPerAdmission: number;
    /** Heap in bytes per customer at a VM that borrows for it, without the document. */
    readonly bytesPerCustomer: number;
}

const admissions = 200_000;
const warmUpMs = 6_300;

function createLimiters(vmCount: number, customerCount: number) {
    const trace = createTrace({
        vmCount,
        customerCount,
        placement: "all VMs",
        durationMs: 1,
        bucketsPerCustomer: 4,
        seed: 1,
    });
    const clock = testing.createVirtualClock();
    const random = testing.createSeededRandom(1);
    const network = testing.createVirtualNetwork({ clock, random });
    const cell = core.createSnapshotCell(trace.fleet);
    const limiters = trace.fleet.vms.map(({ id: self }) =>
        limits.createRateLimiter({
            self,
            clock,
            random,
            endpoint: network.attach(self),
            ownership: ownership.createOwnership({ self, clock, document: cell }),
            document: cell,
        })
    );
    return { clock, limiters };
}

async function measureCpu(): Promise<number> {
    const { clock, limiters } = createLimiters(1, 16);
    await clock.advance(warmUpMs);
    const before = process.cpuUsage();
    for (let index = 0; index < admissions; index++) {
        const result = await limiters[0]?.admit(customerIdOf(index % 16), 1e-4);
        result?.map(charge => charge.settle(2e-4));
    }
    const { user, system } = process.cpuUsage(before);
    return (user + system) / admissions;
}

function readHeapBytes(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    return process.memoryUsage().heapUsed;
}

async function measureMemory(): Promise<number> {
    const customerCount = 500;
    const { clock, limiters } = createLimiters(24, customerCount);
    await clock.advance(warmUpMs);
    const borrower = limiters[0];
    const before = readHeapBytes();
    // Each round borrows from another bucket, because a reply lowers the balance that the borrower expects in that bucket.
    for (let round = 0; round < 8; round++) {
        Array.from({ length: customerCount }, (_unused, index) => void borrower?.admit(customerIdOf(index), 2));
        await clock.advance(20);
    }
    return (readHeapBytes() - before) / customerCount;
}

/** Measures CPU and memory in this process. */
export async function measureLocalCost(): Promise<LocalCost> {
    return { cpuUsPerAdmission: await measureCpu(), bytesPerCustomer: await measureMemory() };
}
