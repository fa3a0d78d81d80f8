import * as documents from "@peridotloft/document";
import * as constants from "./SchedulingConstants.js";
import { minimumOfBacklogged } from "./ServiceTotals.js";
import { doublingRamp, type Ramp } from "./UpstreamPhase.js";

/** Replaceable decisions and limits of the scheduler. Tests pass faulty ones to show that their assertions detect them. */
export interface SchedulingPolicy {
    readonly ramp: Ramp;
    /** Chooses the virtual time floor to which a customer is raised when it becomes backlogged. */
    readonly chooseFloor: (backlogged: readonly number[], all: readonly number[]) => number;
    /** Priority of a waiting customer; the smallest value is served first. */
    readonly priority: (virtualTime: number, waitingSinceMs: number) => number;
    /** Whether an upstream accepts new requests. */
    readonly isInService: (document: documents.FleetDocument, upstream: documents.Upstream) => boolean;
    /** Whether another VM may take over the slot of an unresponsive owner. */
    readonly mayTakeOver: (slotIndex: number, upstream: documents.Upstream) => boolean;
    /** Time in ms after which a restarted owner stops waiting for VMs that have not reported the slots that they hold. */
    readonly restartWaitMs: (document: documents.FleetDocument) => number;
    /** Whether a new owner of a slot queries the other VMs for held slots before it assigns the slot. */
    readonly queriesHeldSlots: boolean;
    /** Maximum number of requests of a customer in this VM's queue of one pool. */
    readonly maxQueued: (customer: documents.Customer | undefined) => number;
    /** Time in ms after a want was sent during which a grant for it is accepted. */
    readonly wantLifetimeMs: number;
    /** Time in ms after which a VM that has not replied to a grant gets no further grants. */
    readonly overdueGrantMs: number;
    readonly takeoverTimeoutMs: number;
    readonly retryRatio: number;
    readonly quarantineUpstreams: number;
    readonly slowFirstByteFactor: number;
    /** Maximum number of coordinators that hold this VM's wants for one pool. */
    readonly maxWantCoordinators: number;
}

const longestDeadlineMs = (document: documents.FleetDocument): number =>
    Math.max(...document.pools.map(pool => pool.deadlineMs));

export const defaultPolicy: SchedulingPolicy = {
    ramp: doublingRamp,
    chooseFloor: minimumOfBacklogged,
    priority: virtualTime => virtualTime,
    isInService: (document, upstream) => documents.effectiveUpstreamState(document, upstream) === "in-service",
    mayTakeOver: (slotIndex, upstream) => slotIndex >= upstream.coldSlots,
    // A lease lasts at most for the pool's deadline, and a want may be `wantLifetimeMs` old when it is granted.
    restartWaitMs: document => longestDeadlineMs(document) + constants.wantLifetimeMs + constants.leaseMarginMs,
    queriesHeldSlots: true,
    maxQueued: customer => customer?.maxQueued ?? constants.defaultMaxQueued,
    wantLifetimeMs: constants.wantLifetimeMs,
    overdueGrantMs: constants.overdueGrantMs,
    takeoverTimeoutMs: constants.takeoverTimeoutMs,
    retryRatio: constants.retryRatio,
    quarantineUpstreams: constants.quarantineUpstreams,
    slowFirstByteFactor: constants.slowFirstByteFactor,
    maxWantCoordinators: constants.maxWantCoordinators,
};
