import * as core from "@peridotloft/core";
import * as constants from "./MembershipConstants.js";

export interface EncodedSection {
    readonly name: string;
    readonly payload: Uint8Array;
}

/** The sections that the slices of this VM registered. */
export interface SectionSet {
    register(section: core.GossipSection): () => void;
    /** Encodes sections into at most `limitBytes`, including their names and framing. */
    encode(limitBytes: number): EncodedSection[];
    /** Whether an encoding carries nothing new. */
    isRoutine(encoded: readonly EncodedSection[]): boolean;
    apply(from: core.VmId, incarnation: number, sections: readonly EncodedSection[]): void;
}

/** Tags and lengths of a section and its two fields in the heartbeat. */
const framingBytes = 8;

/**
 * Each section may use an equal part of what is left, so what one does not need goes to the next. Which one comes first
 * rotates, so that with a short budget every section has its turn.
 *
 * @param onFault called when a section encodes too much or throws; its payload is dropped.
 */
export function createSectionSet(onFault: (section: string, fault: string) => void): SectionSet {
    let sections: readonly core.GossipSection[] = [];
    let turn = 0;

    const encodeOne = (section: core.GossipSection, limitBytes: number): EncodedSection | undefined => {
        const payloadLimit = limitBytes - framingBytes - section.name.length;
        if (payloadLimit < constants.minBytesPerSection) {
            return undefined;
        }
        const payload = guard(section.name, () => section.encode(payloadLimit)) ?? new Uint8Array();
        if (payload.length > payloadLimit) {
            onFault(section.name, `encoded ${payload.length} bytes, the limit was ${payloadLimit}`);
            return undefined;
        }
        return payload.length === 0 ? undefined : { name: section.name, payload };
    };
    const guard = <T>(name: string, action: () => T): T | undefined => {
        try {
            return action();
        }
        catch (error) {
            onFault(name, String(error));
            return undefined;
        }
    };
    const rotated = (): readonly core.GossipSection[] => {
        const start = turn++ % Math.max(1, sections.length);
        return [...sections.slice(start), ...sections.slice(0, start)];
    };

    return {
        register(section) {
            core.invariant(!sections.some(other => other.name === section.name), `section ${section.name} exists once`);
            sections = [...sections, section];
            return () => {
                sections = sections.filter(other => other !== section);
            };
        },
        encode(limitBytes) {
            let left = limitBytes;
            return rotated().flatMap((section, index, all) => {
                const fairPart = Math.floor(left / (all.length - index));
                const usable = Math.max(fairPart, constants.minBytesPerSection + framingBytes + section.name.length);
                const encoded = encodeOne(section, Math.min(left, usable));
                left -= encoded ? sizeOfSection(encoded) : 0;
                return encoded ? [encoded] : [];
            });
        },
        isRoutine: encoded =>
            encoded.every(({ name, payload }) =>
                payload.length <= (sections.find(section => section.name === name)?.routineBytes ?? 0)
            ),
        apply(from, incarnation, received) {
            received.forEach(({ name, payload }) =>
                guard(name, () => sections.find(section => section.name === name)?.apply(from, incarnation, payload))
            );
        },
    };
}

/** Bytes that a section adds to a heartbeat, rounded up. */
export function sizeOfSection(section: EncodedSection): number {
    return framingBytes + section.name.length + section.payload.length;
}
