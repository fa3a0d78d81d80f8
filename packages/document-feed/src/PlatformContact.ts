import type * as core from "@peridotloft/core";
import * as constants from "./PlatformConstants.js";

/**
 * Knows how long ago any VM of the fleet was answered by the configuration service.
 *
 * The age spreads by gossip, and every VM keeps the smallest one. When it grows, the chosen watchers cannot reach the
 * service, and the other VMs begin to watch.
 */
export interface PlatformContact {
    readonly section: core.GossipSection;
    /** Notes that the service answered this VM. */
    noteAnswer(): void;
    /** Whether this VM should watch although it was not chosen. */
    shouldStepIn(): boolean;
}

const encodedBytes = 4;
const largestAge = 0xffff_ffff;

export function createPlatformContact(clock: core.Clock, random: core.Random): PlatformContact {
    const startMs = clock.nowMs();
    let lastAnswerMs: number | undefined;
    let stepInUntilMs = Number.NEGATIVE_INFINITY;
    // Differs between VMs, so that they do not all call the service at the same moment.
    const patienceMs = constants.contactLostAfterMs * (1 + constants.contactJitter * random());

    return {
        section: {
            name: constants.platformSlice,
            routineBytes: encodedBytes,
            encode(limitBytes) {
                if (lastAnswerMs === undefined || limitBytes < encodedBytes) {
                    return new Uint8Array();
                }
                const bytes = Buffer.alloc(encodedBytes);
                bytes.writeUInt32LE(Math.min(largestAge, Math.floor(clock.nowMs() - lastAnswerMs)));
                return bytes;
            },
            apply(_from, _incarnation, payload) {
                if (payload.length === encodedBytes) {
                    const ageMs = Buffer.from(payload).readUInt32LE();
                    lastAnswerMs = Math.max(lastAnswerMs ?? Number.NEGATIVE_INFINITY, clock.nowMs() - ageMs);
                }
            },
        },
        noteAnswer() {
            lastAnswerMs = clock.nowMs();
        },
        shouldStepIn() {
            const nowMs = clock.nowMs();
            if (nowMs - (lastAnswerMs ?? startMs) > patienceMs) {
                stepInUntilMs = nowMs + constants.stepInMs;
            }
            return nowMs < stepInUntilMs;
        },
    };
}
