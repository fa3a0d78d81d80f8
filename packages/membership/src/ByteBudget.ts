import type * as core from "@peridotloft/core";

/** A token bucket in bytes. Urgent messages may overdraw it by up to one second of budget. */
export interface ByteBudget {
    /** Bytes that may be spent now; negative while overdrawn. */
    available(): number;
    mayOverdraw(): boolean;
    spend(bytes: number): void;
}

/** Creates a full bucket with a capacity of one second of budget. */
export function createByteBudget(clock: core.Clock, readBytesPerS: () => number): ByteBudget {
    let balanceBytes = readBytesPerS();
    let lastRefillMs = clock.nowMs();
    const available = (): number => {
        const nowMs = clock.nowMs();
        const bytesPerS = readBytesPerS();
        balanceBytes = Math.min(bytesPerS, balanceBytes + (nowMs - lastRefillMs) * bytesPerS / 1_000);
        lastRefillMs = nowMs;
        return balanceBytes;
    };
    return {
        available,
        mayOverdraw: () => available() > -readBytesPerS(),
        spend(bytes) {
            balanceBytes = available() - bytes;
        },
    };
}
