import { type CrashEvidence, fromCrashEvidenceMessage, toCrashEvidenceMessage } from "./CrashEvidence.js";
import type * as messages from "./gen/announcement_pb.js";
import { toUint32 } from "./Uint32.js";

/** Cost of a customer's requests. */
export interface CustomerCost {
    /** 0 on open routes. */
    readonly customerHash: number;
    /** Cost in tokens. */
    readonly cost: number;
}

/** The heartbeat of a VM and the data that it carries. */
export interface Announcement {
    readonly incarnation: bigint;
    /** Share of the VMs known to the sender to which this announcement is sent, above 0 and at most 1. */
    readonly sampling: number;
    readonly crashEvidence: CrashEvidence;
    /** Cost of the requests that the sender dispatched since its previous announcement. */
    readonly usages: readonly CustomerCost[];
    /** IPv4 addresses of other VMs. */
    readonly members: readonly string[];
    /** Hash of the sender's availability zone. */
    readonly zoneHash: number;
    /** Share of new connections that the sender refuses for lack of processor time, 0 to 1. */
    readonly refusedShare: number;
}

/** Converts an announcement to its message. */
export function toAnnouncementMessage(announcement: Announcement, nowMs: number) {
    const { incarnation, sampling, crashEvidence, usages, members, zoneHash, refusedShare } = announcement;
    return {
        incarnation,
        sampling,
        members: members.map(packAddress),
        zone: zoneHash,
        refusedPercent: Math.round(refusedShare * 100),
        crashEvidence: toCrashEvidenceMessage(crashEvidence, nowMs),
        usageCustomers: usages.map(({ customerHash }) => customerHash),
        usageCosts: usages.map(({ cost }) => toUint32(cost)),
    };
}

/** Converts a message to an announcement; undefined if its lists differ in length or its sampling is out of range. */
export function fromAnnouncementMessage(message: messages.Announcement, nowMs: number): Announcement | undefined {
    const { sampling } = message;
    if (message.usageCosts.length !== message.usageCustomers.length || !(sampling > 0 && sampling <= 1)) {
        return undefined;
    }
    return {
        incarnation: message.incarnation,
        sampling,
        crashEvidence: fromCrashEvidenceMessage(message.crashEvidence, nowMs),
        usages: message.usageCustomers.map((customerHash, index) => ({
            customerHash,
            cost: message.usageCosts[index] ?? 0,
        })),
        members: message.members.map(unpackAddress),
        zoneHash: message.zone,
        refusedShare: Math.min(message.refusedPercent, 100) / 100,
    };
}

function packAddress(address: string): number {
    return address.split(".").reduce((packed, part) => ((packed << 8) | Number(part)) >>> 0, 0);
}

function unpackAddress(packed: number): string {
    return [24, 16, 8, 0].map(shift => (packed >>> shift) & 0xff).join(".");
}
