import * as documents from "@peridotloft/document";
import * as constants from "./SchedulingConstants.js";
import { minimumOfBacklogged } from "./ServiceTotals.js";
import { doubling, type Ramp } from "./UpstreamPhase.js";

/** The decisions of the scheduler that are passed as functions or numbers. */
export interface SchedulingPolicy {
    readonly ramp: Ramp;
    /** Virtual time that a customer is raised to when it becomes backlogged. */
    readonly raiseTo: (backlogged: readonly number[], all: readonly number[]) => number;
    /** Order of waiting customers: the smallest value is served first. */
    readonly priority: (virtualTime: number, waitingSinceMs: number) => number;
    /** Whether an upstream gets new work. */
    readonly isInService: (document: documents.FleetDocument, upstream: documents.Upstream) => boolean;
    /** Whether a slot may be taken over from an owner that is silent. */
    readonly mayTakeOver: (slotIndex: number, upstream: documents.Upstream) => boolean;
    /** Longest wait in ms of a restarted owner for VMs that do not say which slots they hold. */
    readonly restartWaitMs: (document: documents.FleetDocument) => number;
    /** Whether an owner asks for held slots before it gives a slot that it did not own before. */
    readonly asksForHeldSlots: boolean;
    /** Requests that a customer may have waiting in this VM's queue of one pool. */
    readonly maxQueued: (customer: documents.Customer | undefined) => number;
    /** Time in ms for which a grant for a want is accepted. */
    readonly wantLifetimeMs: number;
    /** Time in ms after which a VM that has not answered a grant gets no further ones. */
    readonly unansweredGrantMs: number;
    readonly takeoverSilenceMs: number;
    readonly retryRatio: number;
    readonly quarantineUpstreams: number;
    readonly slowFirstByteFactor: number;
    /** Number of owners that hold this VM's wants for one pool. */
    readonly maxWantOwners: number;
}

const longestDeadlineMs = (document: documents.FleetDocument): number =>
    Math.max(...document.pools.map(pool => pool.deadlineMs));

export const defaultPolicy: SchedulingPolicy = {
    ramp: doubling,
    raiseTo: minimumOfBacklogged,
    priority: virtualTime => virtualTime,
    isInService: (document, upstream) => documents.effectiveUpstreamState(document, upstream) === "in-service",
    mayTakeOver: (slotIndex, upstream) => slotIndex >= upstream.coldSlots,
    // A lease lives for the pool's deadline, and a want may be this old when it is granted.
    restartWaitMs: document => longestDeadlineMs(document) + constants.wantLifetimeMs + constants.leaseMarginMs,
    asksForHeldSlots: true,
    maxQueued: customer => customer?.maxQueued ?? constants.defaultMaxQueued,
    wantLifetimeMs: constants.wantLifetimeMs,
    unansweredGrantMs: constants.unansweredGrantMs,
    takeoverSilenceMs: constants.takeoverSilenceMs,
    retryRatio: constants.retryRatio,
    quarantineUpstreams: constants.quarantineUpstreams,
    slowFirstByteFactor: constants.slowFirstByteFactor,
    maxWantOwners: constants.maxWantOwners,
};
