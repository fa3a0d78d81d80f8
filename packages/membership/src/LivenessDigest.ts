import type * as core from "@peridotloft/core";
import { createHash } from "node:crypto";
import * as constants from "./MembershipConstants.js";

/** The digest as carried in heartbeats: bits of the VMs known to have sent in an epoch. */
export interface LivenessBits {
    readonly vmListDigest: number;
    readonly epoch: number;
    /** Position in the list of VMs that bit 0 represents. */
    readonly first: number;
    readonly current: Uint8Array;
    readonly previous: Uint8Array;
}

/**
 * Relays which VMs sent recently, with two bits per VM.
 *
 * Every VM marks itself in the current epoch and merges the marks of others by OR. A mark belongs to an epoch and is never
 * moved to a later one, so peers that relay each other's marks cannot make a stopped VM appear alive.
 */
export interface LivenessDigest {
    /** Sets the VMs of the document; a different list discards all marks. */
    setVms(ids: readonly core.VmId[]): void;
    /** Marks a VM from which a message was received directly. */
    mark(id: core.VmId): void;
    encode(): LivenessBits;
    /** Merges a peer's digest; returns the VMs with a new mark and the latest time in ms at which they sent. */
    merge(bits: LivenessBits): { readonly id: core.VmId; readonly heardMs: number; }[];
}

// A correct peer is never this far ahead. Higher epochs are ignored instead of adopted.
const maxEpochJump = 1_000_000;

export function createLivenessDigest(clock: core.Clock, self: core.VmId): LivenessDigest {
    let ids: readonly core.VmId[] = [];
    let positions = new Map<core.VmId, number>();
    let vmListDigest = 0;
    let epoch = 0;
    let epochStartMs = clock.nowMs();
    let current = new Uint8Array();
    let previous = new Uint8Array();
    let encodeCount = 0;

    const createMarks = (): Uint8Array<ArrayBuffer> => new Uint8Array(Math.ceil(ids.length / 8));
    const startEpoch = (next: number, startMs: number): void => {
        previous = next === epoch + 1 ? current : createMarks();
        current = createMarks();
        epoch = next;
        epochStartMs = startMs;
    };
    const advanceToNow = (): void => {
        const passed = Math.floor((clock.nowMs() - epochStartMs) / constants.epochMs);
        if (passed > 0) {
            startEpoch(epoch + passed, epochStartMs + passed * constants.epochMs);
        }
    };
    const mark = (id: core.VmId): void => {
        const position = positions.get(id);
        if (position !== undefined) {
            current[position >> 3] = byteAt(current, position >> 3) | (1 << (position & 7));
        }
    };
    const vmsOf = (byteIndex: number, bits: number): core.VmId[] =>
        bitNumbers
            .filter(bit => (bits & (1 << bit)) !== 0)
            .map(bit => ids[byteIndex * 8 + bit])
            .filter((id): id is core.VmId => id !== undefined && id !== self);
    // Returns the VMs that are newly marked in `marks` and not marked in `known`.
    const mergeMarks = (marks: Uint8Array, firstByte: number, bits: Uint8Array, known: Uint8Array): core.VmId[] => {
        const gained: core.VmId[] = [];
        bits.subarray(0, Math.max(0, marks.length - firstByte)).forEach((byte, offset) => {
            const index = firstByte + offset;
            const newBits = byte & ~byteAt(marks, index);
            if (newBits !== 0) {
                marks[index] = byteAt(marks, index) | newBits;
                gained.push(...vmsOf(index, newBits & ~byteAt(known, index)));
            }
        });
        return gained;
    };

    return {
        setVms(next) {
            const sorted = [...next].sort();
            const digest = createHash("sha256").update(sorted.join("\n")).digest().readUInt32LE();
            if (digest !== vmListDigest) {
                ids = sorted;
                positions = new Map(sorted.map((id, position) => [id, position]));
                vmListDigest = digest;
                current = createMarks();
                previous = createMarks();
            }
        },
        mark(id) {
            advanceToNow();
            mark(id);
        },
        encode() {
            advanceToNow();
            mark(self);
            const windows = Math.max(1, Math.ceil(ids.length / constants.maxDigestVms));
            const first = (encodeCount++ % windows) * constants.maxDigestVms;
            const [start, end] = [first / 8, (first + constants.maxDigestVms) / 8];
            return {
                vmListDigest,
                epoch,
                first,
                current: current.slice(start, end),
                previous: previous.slice(start, end),
            };
        },
        merge(bits) {
            advanceToNow();
            if (bits.vmListDigest !== vmListDigest || bits.epoch - epoch > maxEpochJump || bits.first % 8 !== 0) {
                return [];
            }
            if (bits.epoch > epoch) {
                startEpoch(bits.epoch, clock.nowMs());
            }
            if (bits.epoch < epoch - 1) {
                return [];
            }
            const firstByte = bits.first / 8;
            const ofCurrent = bits.epoch === epoch ? bits.current : noBits;
            const ofPrevious = bits.epoch === epoch ? bits.previous : bits.current;
            const gainedCurrent = mergeMarks(current, firstByte, ofCurrent, noBits);
            const gainedPrevious = mergeMarks(previous, firstByte, ofPrevious, current);
            const nowMs = clock.nowMs();
            return [
                ...gainedPrevious.map(id => ({ id, heardMs: Math.min(nowMs, epochStartMs) })),
                ...gainedCurrent.map(id => ({ id, heardMs: nowMs })),
            ];
        },
    };
}

const bitNumbers = [0, 1, 2, 3, 4, 5, 6, 7];
const noBits = new Uint8Array();

function byteAt(bytes: Uint8Array, index: number): number {
    return bytes[index] ?? 0;
}
