import type * as core from "@peridotloft/core";
import * as constants from "./PlatformConstants.js";

/**
 * Tracks the time since any VM of the fleet last got a response from the configuration service.
 *
 * VMs exchange this age by gossip and keep the smallest value. A large age means that the selected watchers cannot reach
 * the service, so other VMs start to watch.
 */
export interface PlatformContact {
    readonly section: core.GossipSection;
    /** Records that this VM got a response from the service. */
    recordResponse(): void;
    /** Whether this VM should watch although it was not selected as a watcher. */
    shouldWatchAsFallback(): boolean;
}

const encodedBytes = 4;
const maxAgeMs = 0xffff_ffff;

export function createPlatformContact(clock: core.Clock, random: core.Random): PlatformContact {
    const startMs = clock.nowMs();
    let lastResponseMs: number | undefined;
    let watchUntilMs = Number.NEGATIVE_INFINITY;
    // Jitter keeps the VMs from calling the service at the same time.
    const contactTimeoutMs = constants.contactTimeoutMs * (1 + constants.contactJitter * random());

    return {
        section: {
            name: constants.platformSlice,
            routineBytes: encodedBytes,
            encode(limitBytes) {
                if (lastResponseMs === undefined || limitBytes < encodedBytes) {
                    return new Uint8Array();
                }
                const bytes = Buffer.alloc(encodedBytes);
                bytes.writeUInt32LE(Math.min(maxAgeMs, Math.floor(clock.nowMs() - lastResponseMs)));
                return bytes;
            },
            apply(_from, _incarnation, payload) {
                if (payload.length === encodedBytes) {
                    const ageMs = Buffer.from(payload).readUInt32LE();
                    lastResponseMs = Math.max(lastResponseMs ?? Number.NEGATIVE_INFINITY, clock.nowMs() - ageMs);
                }
            },
        },
        recordResponse() {
            lastResponseMs = clock.nowMs();
        },
        shouldWatchAsFallback() {
            const nowMs = clock.nowMs();
            if (nowMs - (lastResponseMs ?? startMs) > contactTimeoutMs) {
                watchUntilMs = nowMs + constants.fallbackWatchMs;
            }
            return nowMs < watchUntilMs;
        },
    };
}
