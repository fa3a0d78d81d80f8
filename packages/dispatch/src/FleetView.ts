import type * as fleets from "@peridotloft/fleet";

/** The part of the fleet interface that the dispatcher uses. Information from other VMs is only a hint. */
export type FleetView = Pick<
    fleets.FleetNode,
    | "vmCount"
    | "announceUsage"
    | "registerUsageListener"
    | "registerUsageSource"
    | "usageTotals"
    | "announceCrash"
    | "announceResponse"
    | "announceQuarantine"
    | "registerCrashEvidence"
    | "askTracker"
    | "reportAttempt"
    | "reportLimit"
    | "registerTracker"
    | "announceStreamOrigins"
    | "askStreamOrigin"
    | "registerStreamOriginHolder"
>;

/** The view of a VM without peers. */
export const standaloneView: FleetView = {
    vmCount: () => 1,
    announceUsage: () => undefined,
    announceCrash: () => undefined,
    announceResponse: () => undefined,
    announceQuarantine: () => undefined,
    registerCrashEvidence: () => () => undefined,
    registerUsageListener: () => () => undefined,
    registerUsageSource: () => () => undefined,
    usageTotals: () => undefined,
    askTracker: () => Promise.resolve(undefined),
    reportAttempt: () => undefined,
    reportLimit: () => undefined,
    registerTracker: () => () => undefined,
    announceStreamOrigins: () => undefined,
    askStreamOrigin: () => Promise.resolve([]),
    registerStreamOriginHolder: () => () => undefined,
};
