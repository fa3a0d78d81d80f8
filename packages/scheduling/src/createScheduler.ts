import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { Ownership } from "@peridotloft/ownership";
import { err, type Result } from "neverthrow";
import { createDispatcher } from "./Dispatcher.js";
import { createDocumentView, type DocumentView } from "./DocumentView.js";
import { createFailureDetector } from "./FailureDetector.js";
import type { Waiter } from "./FairQueue.js";
import { createFirstByteMonitor } from "./FirstByteMonitor.js";
import { createQuarantine } from "./Quarantine.js";
import { createRecoveryDriver } from "./RecoveryDriver.js";
import { createRetryBudget } from "./RetryBudget.js";
import { createRunningLeases, type RunningLeases } from "./RunningLeases.js";
import type { QueueRefusal, Scheduler, SlotLease, SlotRequest } from "./Scheduler.js";
import { createSchedulerStatus } from "./SchedulerStatus.js";
import * as constants from "./SchedulingConstants.js";
import { createSchedulingHandler } from "./SchedulingHandler.js";
import { createMessageSender } from "./SchedulingMessages.js";
import { defaultPolicy, type SchedulingPolicy } from "./SchedulingPolicy.js";
import { createSchedulingSection } from "./SchedulingSection.js";
import { createServiceTotals } from "./ServiceTotals.js";
import { createSlotBorrower } from "./SlotBorrower.js";
import { createSlotLender, type SlotLender } from "./SlotLender.js";
import { createSlotRecovery } from "./SlotRecovery.js";
import { createSlotTable, type Slot, slotResource } from "./SlotTable.js";
import { createUpstreamHealth } from "./UpstreamHealth.js";
import { createPhaseTable, type PhaseState } from "./UpstreamPhase.js";
import { createWantSender } from "./WantSender.js";
import { createWantTable } from "./WantTable.js";

export interface SchedulerOptions {
    /** This VM and its current incarnation, as in its heartbeats. */
    readonly self: { readonly id: core.VmId; readonly incarnation: number; };
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly endpoint: core.PeerEndpoint;
    readonly gossip: core.GossipRegistry;
    readonly peers: () => readonly core.PeerView[];
    readonly ownership: Ownership;
    readonly document: core.SnapshotCell<documents.FleetDocument>;
    readonly policy?: Partial<SchedulingPolicy>;
}

/** Creates the scheduler of one VM, which runs from the start until `dispose` is called. */
export function createScheduler(options: SchedulerOptions): Scheduler {
    const { self, clock, random, gossip, ownership } = options;
    const policy: SchedulingPolicy = { ...defaultPolicy, ...options.policy };
    let view = createDocumentView(options.document.read(), policy);
    const readView = (): DocumentView => view;
    const isSelf = (vm: core.VmId): boolean => vm === self.id;

    const sender = createMessageSender(options.endpoint, self.incarnation);
    const failureDetector = createFailureDetector(clock, options.peers, policy.takeoverTimeoutMs);
    const budget = createRetryBudget(clock, policy.retryRatio);
    const quarantine = createQuarantine(clock, policy.quarantineUpstreams);
    const phases = createPhaseTable(clock, policy.ramp);
    const recovery = createSlotRecovery(clock);
    const wants = createWantTable(clock, vm => lender.hasOverdueGrant(vm));
    const totals = createServiceTotals({
        clock,
        weightOf: customer => view.customers.get(customer)?.weight ?? 1,
        stalenessMs: () => view.document.fleet.exchangePeriodMs,
        chooseFloor: policy.chooseFloor,
    });
    const table = createSlotTable({
        self: self.id,
        ownership,
        isUnresponsive: failureDetector.isUnresponsive,
        mayTakeOver: policy.mayTakeOver,
    });

    const { wantLifetimeMs } = policy;
    const borrower = createSlotBorrower({ clock, sender, wantLifetimeMs });
    const wantSender = createWantSender({
        clock,
        random,
        sender,
        coordinators: table.coordinators,
        isInSameZone: vm => view.vmZones.get(vm) === view.vmZones.get(self.id),
        maxCoordinators: policy.maxWantCoordinators,
        wantLifetimeMs,
    });
    const dispatcher = createDispatcher({
        self: self.id,
        clock,
        random,
        policy,
        view: readView,
        table,
        recovery,
        phases,
        totals,
        wants,
        wantSender,
        borrower,
        lender: (): SlotLender => lender,
        leases: (): RunningLeases => leases,
    });
    const lender = createSlotLender({
        clock,
        sender,
        table,
        totals,
        wants,
        view: readView,
        epochOf: phases.epochOf,
        wantLifetimeMs,
        overdueGrantMs: policy.overdueGrantMs,
        onFree: dispatcher.dispatch,
    });
    const health = createUpstreamHealth({
        phases,
        monitor: createFirstByteMonitor(policy.slowFirstByteFactor),
        sender,
        remoteRampCoordinator(upstream) {
            const owner = ownership.ownerOf(slotResource(upstream, 0));
            return isSelf(owner) ? undefined : owner;
        },
        onChange: upstream => {
            gossip.requestExchange();
            const pool = view.upstreams.get(upstream.id)?.pool.id;
            if (pool) {
                dispatcher.dispatch(pool);
            }
        },
    });
    const leases = createRunningLeases({ clock, health, completionEstimateOf: dispatcher.completionEstimateOf });

    const mergeState = (state: PhaseState): void => {
        const known = view.upstreams.get(state.upstream);
        if (known) {
            health.merge(known.upstream, state);
        }
    };

    const recoveryDriver = createRecoveryDriver({
        clock,
        sender,
        recovery,
        totals,
        onState: mergeState,
        onProgress: dispatcher.dispatchAll,
    });

    const beginRecovery = (gained: readonly Slot[]): void => {
        if (gained.length > 0 && policy.queriesHeldSlots) {
            const others = view.vms.filter(vm => !isSelf(vm));
            recovery.beginRecovery(gained, others, policy.restartWaitMs(view.document));
            recoveryDriver.tick();
        }
    };

    const handleServiceChanges = (before: DocumentView): void =>
        view.upstreams.forEach(({ upstream, inService }) => {
            const old = before.upstreams.get(upstream.id);
            if (old && (old.inService !== inService || old.upstream.url !== upstream.url)) {
                health.handleServiceChange(upstream);
            }
        });

    const hasEligibleUpstream = ({ pool, exclude }: SlotRequest): boolean =>
        [...view.upstreams.values()].some(known =>
            known.pool.id === pool && known.inService && !exclude.includes(known.upstream.id)
        );

    const refuseWhere = (kind: QueueRefusal["kind"], matches: (waiter: Waiter) => boolean): void =>
        dispatcher.queues().forEach(queue =>
            queue.waiters().filter(matches).forEach(waiter => dispatcher.refuse(waiter, kind))
        );

    const adoptDocument = (document: documents.FleetDocument): void => {
        const before = view;
        view = createDocumentView(document, policy);
        const gained = table.adoptDocument(view);
        recovery.retainVms(view.vms);
        beginRecovery(gained);
        handleServiceChanges(before);
        refuseWhere("no-upstream", waiter => !hasEligibleUpstream(waiter.request));
        dispatcher.dispatchAll();
    };

    let unresponsiveBefore = "";
    let nextRefreshMs = 0;
    const refreshRoles = (): void => {
        const unresponsive = view.vms.filter(vm => !isSelf(vm) && failureDetector.isUnresponsive(vm)).join();
        const isDue = table.hasPendingHandover && clock.nowMs() >= nextRefreshMs;
        if (unresponsive !== unresponsiveBefore || isDue) {
            unresponsiveBefore = unresponsive;
            nextRefreshMs = clock.nowMs() + constants.roleRefreshPeriodMs;
            beginRecovery(table.refresh());
        }
    };

    const tick = (): void => {
        const nowMs = clock.nowMs();
        failureDetector.tick();
        totals.sampleFloors();
        refreshRoles();
        recoveryDriver.tick();
        lender.tick();
        borrower.tick();
        dispatcher.queues().forEach(queue =>
            queue.expired(nowMs).forEach(waiter => dispatcher.refuse(waiter, "deadline"))
        );
        dispatcher.dispatchAll();
    };

    const refusalOf = (request: SlotRequest, deadlineMs: number): QueueRefusal | undefined => {
        const waiting = dispatcher.queueOf(request.pool).lengthOf(request.customer);
        const expectedMs = Math.round(
            dispatcher.completionEstimateOf(request.pool).expectedCompletionMs(request.customer, waiting),
        );
        if (!hasEligibleUpstream(request)) {
            return { kind: "no-upstream", retryAfterMs: constants.maxBackoffMs };
        }
        if (waiting >= policy.maxQueued(view.customers.get(request.customer))) {
            return { kind: "queue-full", retryAfterMs: expectedMs };
        }
        const leftMs = deadlineMs - clock.nowMs();
        return leftMs <= 0 || expectedMs > leftMs ? { kind: "deadline", retryAfterMs: expectedMs } : undefined;
    };

    const enqueue = (
        request: SlotRequest,
        deadlineMs: number,
        signal: AbortSignal,
    ): Promise<Result<SlotLease, QueueRefusal>> =>
        new Promise(settle => {
            const cancel = (): void => dispatcher.refuse(waiter, "cancelled");
            const resolve: Waiter["resolve"] = result => {
                signal.removeEventListener("abort", cancel);
                settle(result);
            };
            const waiter: Waiter = { request, enqueuedMs: clock.nowMs(), deadlineMs, resolve };
            signal.addEventListener("abort", cancel);
            dispatcher.queueOf(request.pool).add(waiter);
            dispatcher.dispatch(request.pool);
        });

    const resendGossip = (): void => {
        phases.markAllForResend();
        totals.markAllForResend();
    };

    const recordContact = (from: core.VmId): void => {
        const isSmall = view.vms.length <= constants.fullMeshMaxVms;
        if (
            failureDetector.recordContact(from)
                > (isSmall ? constants.resendAfterGapMs : constants.relayedResendAfterGapMs)
        ) {
            resendGossip();
        }
    };

    const disposers = [
        options.endpoint.registerSlice(
            constants.sliceName,
            createSchedulingHandler({
                incarnation: self.incarnation,
                clock,
                view: readView,
                dispatcher,
                table,
                recovery,
                lender,
                borrower,
                wants,
                wantSender,
                totals,
                phases,
                health,
                recordContact,
            }),
        ),
        gossip.registerSection(createSchedulingSection({
            clock,
            keys: () => view.gossipKeys,
            onMessage: recordContact,
            onNamesMatch: resendGossip,
            totals,
            phases,
            quarantine,
            hints: () => [...view.pools.keys()].map(pool => ({ pool, free: dispatcher.freeSlots(pool) })),
            onState: mergeState,
            onHint: (from, pool, free) => wantSender.recordHint(pool, from, free),
        })),
        core.setRepeatingTimer(clock, constants.tickMs, tick),
    ];
    beginRecovery(table.adoptDocument(view));
    const subscription = options.document.changes.subscribe(document => {
        if (document !== view.document) {
            adoptDocument(document);
        }
    });

    return {
        acquire(request, signal) {
            const poolDeadlineMs = view.pools.get(request.pool)?.deadlineMs ?? 0;
            const deadlineMs = Math.min(request.deadlineMs, clock.nowMs() + poolDeadlineMs);
            if (request.exclude.length === 0) {
                budget.recordRequest();
            }
            if (signal.aborted) {
                return Promise.resolve(err({ kind: "cancelled", retryAfterMs: 0 }));
            }
            const refusal = refusalOf(request, deadlineMs);
            return refusal ? Promise.resolve(err(refusal)) : enqueue(request, deadlineMs, signal);
        },
        tryTakeRetry: budget.tryTakeRetry,
        isQuarantined: quarantine.isQuarantined,
        recordCrash(fingerprint, upstream) {
            if (quarantine.recordCrash({ fingerprint, upstream, ageMs: 0 })) {
                gossip.requestExchange();
            }
        },
        status: () =>
            createSchedulerStatus({ view, table, phases, leases, totals, quarantine, queues: dispatcher.queues() }),
        dispose() {
            disposers.forEach(each => each());
            subscription.unsubscribe();
            wantSender.dispose();
            refuseWhere("cancelled", () => true);
        },
    };
}
