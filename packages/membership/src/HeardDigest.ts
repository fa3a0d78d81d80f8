import type * as core from "@peridotloft/core";
import { createHash } from "node:crypto";
import * as constants from "./MembershipConstants.js";

/** Which VMs are known to have sent in an epoch, as it travels in heartbeats. */
export interface HeardBits {
    readonly vmListDigest: number;
    readonly epoch: number;
    /** Position in the list of VMs that bit 0 stands for. */
    readonly first: number;
    readonly current: Uint8Array;
    readonly previous: Uint8Array;
}

/**
 * Relays who was heard, at a quarter of a byte per VM.
 *
 * Every VM marks itself in the current epoch and merges the marks of others by OR. A mark names an epoch and is never
 * moved to a later one, so a VM that stopped cannot be kept alive by peers that repeat each other.
 */
export interface HeardDigest {
    /** Sets the VMs of the document; marks of other lists are dropped. */
    setVms(ids: readonly core.VmId[]): void;
    /** Marks a VM that was heard directly. */
    mark(id: core.VmId): void;
    encode(): HeardBits;
    /** Merges what a peer sent; returns the VMs that have a new mark, with the time in ms they were last running. */
    merge(bits: HeardBits): { readonly id: core.VmId; readonly heardMs: number; }[];
}

// Faster than a peer's clock may run; a wrong epoch beyond it is ignored instead of adopted.
const maxEpochJump = 1_000_000;

export function createHeardDigest(clock: core.Clock, self: core.VmId): HeardDigest {
    let ids: readonly core.VmId[] = [];
    let positions = new Map<core.VmId, number>();
    let vmListDigest = 0;
    let epoch = 0;
    let epochStartMs = clock.nowMs();
    let current = new Uint8Array();
    let previous = new Uint8Array();
    let turn = 0;

    const createMarks = (): Uint8Array<ArrayBuffer> => new Uint8Array(Math.ceil(ids.length / 8));
    const advanceTo = (next: number, startMs: number): void => {
        previous = next === epoch + 1 ? current : createMarks();
        current = createMarks();
        epoch = next;
        epochStartMs = startMs;
    };
    const advance = (): void => {
        const passed = Math.floor((clock.nowMs() - epochStartMs) / constants.epochMs);
        if (passed > 0) {
            advanceTo(epoch + passed, epochStartMs + passed * constants.epochMs);
        }
    };
    const mark = (id: core.VmId): void => {
        const position = positions.get(id);
        if (position !== undefined) {
            current[position >> 3] = byteAt(current, position >> 3) | (1 << (position & 7));
        }
    };
    const namesOf = (byteIndex: number, bits: number): core.VmId[] =>
        bitNumbers
            .filter(bit => (bits & (1 << bit)) !== 0)
            .map(bit => ids[byteIndex * 8 + bit])
            .filter((id): id is core.VmId => id !== undefined && id !== self);
    // Returns the VMs that gain a mark and are not in `known` already.
    const mergeInto = (marks: Uint8Array, firstByte: number, bits: Uint8Array, known: Uint8Array): core.VmId[] => {
        const gained: core.VmId[] = [];
        bits.subarray(0, Math.max(0, marks.length - firstByte)).forEach((byte, offset) => {
            const index = firstByte + offset;
            const news = byte & ~byteAt(marks, index);
            if (news !== 0) {
                marks[index] = byteAt(marks, index) | news;
                gained.push(...namesOf(index, news & ~byteAt(known, index)));
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
            advance();
            mark(id);
        },
        encode() {
            advance();
            mark(self);
            const windows = Math.max(1, Math.ceil(ids.length / constants.maxHeardVms));
            const first = (turn++ % windows) * constants.maxHeardVms;
            const [start, end] = [first / 8, (first + constants.maxHeardVms) / 8];
            return {
                vmListDigest,
                epoch,
                first,
                current: current.slice(start, end),
                previous: previous.slice(start, end),
            };
        },
        merge(bits) {
            advance();
            if (bits.vmListDigest !== vmListDigest || bits.epoch - epoch > maxEpochJump || bits.first % 8 !== 0) {
                return [];
            }
            if (bits.epoch > epoch) {
                advanceTo(bits.epoch, clock.nowMs());
            }
            if (bits.epoch < epoch - 1) {
                return [];
            }
            const firstByte = bits.first / 8;
            const ofCurrent = bits.epoch === epoch ? bits.current : none;
            const ofPrevious = bits.epoch === epoch ? bits.previous : bits.current;
            const news = mergeInto(current, firstByte, ofCurrent, none);
            const late = mergeInto(previous, firstByte, ofPrevious, current);
            const nowMs = clock.nowMs();
            return [
                ...late.map(id => ({ id, heardMs: Math.min(nowMs, epochStartMs) })),
                ...news.map(id => ({ id, heardMs: nowMs })),
            ];
        },
    };
}

const bitNumbers = [0, 1, 2, 3, 4, 5, 6, 7];
const none = new Uint8Array();

function byteAt(bytes: Uint8Array, index: number): number {
    return bytes[index] ?? 0;
}
