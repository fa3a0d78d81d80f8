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

/** What a VM has heard last of a run of another VM that has started again since. */
export interface EarlierRun {
    readonly incarnation: bigint;
    /** Time in ms from its last announcement to the first one of the next run. */
    readonly silentMs: number;
    /** Whether it was draining; one that was not has ended without a word. */
    readonly wasDraining: boolean;
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
    /** Share of new connections that the sender refuses for lack of processor time, 0 to 1. 1 only while it drains. */
    readonly refusedShare: number;
    /** Processor time in cores that the sender can spare for connections that other VMs pass on; 0 if it takes none. */
    readonly spareCores: number;
    /** An earlier run at the receiver's address; undefined but in the first announcement to a run. */
    readonly earlierRun: EarlierRun | undefined;
}

const millicoresPerCore = 1_000;

/** Converts an announcement to its message. */
export function toAnnouncementMessage(announcement: Announcement, nowMs: number) {
    const { incarnation, sampling, crashEvidence, usages, members, zoneHash, refusedShare, spareCores, earlierRun } =
        announcement;
    return {
        incarnation,
        sampling,
        members: members.map(packAddress),
        zone: zoneHash,
        refusedPercent: Math.round(refusedShare * 100),
        spareMillicores: toUint32(spareCores * millicoresPerCore),
        crashEvidence: toCrashEvidenceMessage(crashEvidence, nowMs),
        usageCustomers: usages.map(({ customerHash }) => customerHash),
        usageCosts: usages.map(({ cost }) => toUint32(cost)),
        ...(earlierRun && {
            earlierRun: {
                incarnation: earlierRun.incarnation,
                silentMs: toUint32(earlierRun.silentMs),
                draining: earlierRun.wasDraining,
            },
        }),
    };
}

/** Converts a message to an announcement; undefined if its lists differ in length or its sampling is out of range. */
export function fromAnnouncementMessage(message: messages.Announcement, nowMs: number): Announcement | undefined {
    const { earlierRun, sampling } = message;
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
        spareCores: message.spareMillicores / millicoresPerCore,
        earlierRun: earlierRun && {
            incarnation: earlierRun.incarnation,
            silentMs: earlierRun.silentMs,
            wasDraining: earlierRun.draining,
        },
    };
}

function packAddress(address: string): number {
    return address.split(".").reduce((packed, part) => ((packed << 8) | Number(part)) >>> 0, 0);
}

function unpackAddress(packed: number): string {
    return [24, 16, 8, 0].map(shift => (packed >>> shift) & 0xff).join(".");
}
