import * as core from "@peridotloft/core";
import * as constants from "./MembershipConstants.js";

export interface EncodedSection {
    readonly name: string;
    readonly payload: Uint8Array;
}

/** The gossip sections registered by the components of this VM. */
export interface SectionSet {
    register(section: core.GossipSection): () => void;
    /** Encodes sections into at most `limitBytes`, including their names and framing. */
    encode(limitBytes: number): EncodedSection[];
    /** Whether every encoded section is within its `routineBytes`, so that it carries nothing new. */
    isRoutine(encoded: readonly EncodedSection[]): boolean;
    apply(from: core.VmId, incarnation: number, sections: readonly EncodedSection[]): void;
}

/** Upper bound on the protobuf tags and lengths of a section and its two fields. */
const framingBytes = 8;

/**
 * Each section may use an equal share of the remaining bytes, so that later sections can use what earlier ones do not need.
 * The first section rotates, so that none starves when the budget is short.
 *
 * @param onFault called when a section exceeds its limit or throws; its payload is dropped.
 */
export function createSectionSet(onFault: (section: string, fault: string) => void): SectionSet {
    let sections: readonly core.GossipSection[] = [];
    let rotation = 0;

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
        const start = rotation++ % Math.max(1, sections.length);
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
            let remainingBytes = limitBytes;
            return rotated().flatMap((section, index, all) => {
                const fairShare = Math.floor(remainingBytes / (all.length - index));
                const usable = Math.max(fairShare, constants.minBytesPerSection + framingBytes + section.name.length);
                const encoded = encodeOne(section, Math.min(remainingBytes, usable));
                remainingBytes -= encoded ? sizeOfSection(encoded) : 0;
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
