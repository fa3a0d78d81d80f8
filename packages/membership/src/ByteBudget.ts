import type * as core from "@peridotloft/core";

/** A token bucket of bytes. Urgent messages may overdraw it by up to one second of budget. */
export interface ByteBudget {
    /** Bytes that may be spent now; negative while overdrawn. */
    available(): number;
    mayOverdraw(): boolean;
    spend(bytes: number): void;
}

/** Saves up at most one second of budget. */
export function createByteBudget(clock: core.Clock, readBytesPerS: () => number): ByteBudget {
    let balance = readBytesPerS();
    let lastMs = clock.nowMs();
    const available = (): number => {
        const nowMs = clock.nowMs();
        const bytesPerS = readBytesPerS();
        balance = Math.min(bytesPerS, balance + (nowMs - lastMs) * bytesPerS / 1_000);
        lastMs = nowMs;
        return balance;
    };
    return {
        available,
        mayOverdraw: () => available() > -readBytesPerS(),
        spend(bytes) {
            balance = available() - bytes;
        },
    };
}
