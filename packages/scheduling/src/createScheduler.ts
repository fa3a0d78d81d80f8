import * as core from "@peridotloft/core";
import type * as documents from "@peridotloft/document";
import type { Ownership } from "@peridotloft/ownership";
import { err, type Result } from "neverthrow";
import { createDispatcher } from "./Dispatcher.js";
import { createDocumentView, type DocumentView } from "./DocumentView.js";
import type { Waiter } from "./FairQueue.js";
import { createFirstByteMonitor } from "./FirstByteMonitor.js";
import { createPeerSilence } from "./PeerSilence.js";
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
import { createWantBook } from "./WantBook.js";
import { createWantSender } from "./WantSender.js";

export interface SchedulerOptions {
    /** This VM and the start number of its present run, as its heartbeats carry it. */
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

/** Creates the scheduler of one VM. It starts at once and runs until `dispose`. */
export function createScheduler(options: SchedulerOptions): Scheduler {
    const { self, clock, random, gossip, ownership } = options;
    const policy: SchedulingPolicy = { ...defaultPolicy, ...options.policy };
    let view = createDocumentView(options.document.read(), policy);
    const readView = (): DocumentView => view;
    const isSelf = (vm: core.VmId): boolean => vm === self.id;

    const sender = createMessageSender(options.endpoint, self.incarnation);
    const silence = createPeerSilence(clock, options.peers, policy.takeoverSilenceMs);
    const budget = createRetryBudget(clock, policy.retryRatio);
    const quarantine = createQuarantine(clock, policy.quarantineUpstreams);
    const phases = createPhaseTable(clock, policy.ramp);
    const recovery = createSlotRecovery(clock);
    const wants = createWantBook(clock, vm => lender.isUnresponsive(vm));
    const totals = createServiceTotals({
        clock,
        weightOf: customer => view.customers.get(customer)?.weight ?? 1,
        stalenessMs: () => view.document.fleet.exchangePeriodMs,
        raiseTo: policy.raiseTo,
    });
    const table = createSlotTable({
        self: self.id,
        ownership,
        isSilent: silence.isSilent,
        mayTakeOver: policy.mayTakeOver,
    });

    const { wantLifetimeMs } = policy;
    const borrower = createSlotBorrower({ clock, sender, wantLifetimeMs });
    const wantSender = createWantSender({
        clock,
        random,
        sender,
        deciders: table.deciders,
        isNear: vm => view.zones.get(vm) === view.zones.get(self.id),
        maxOwners: policy.maxWantOwners,
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
        unansweredGrantMs: policy.unansweredGrantMs,
        onFree: dispatcher.pump,
    });
    const health = createUpstreamHealth({
        phases,
        monitor: createFirstByteMonitor(policy.slowFirstByteFactor),
        sender,
        remoteDecider(upstream) {
            const owner = ownership.ownerOf(slotResource(upstream, 0));
            return isSelf(owner) ? undefined : owner;
        },
        onChange: upstream => {
            gossip.requestExchange();
            const pool = view.upstreams.get(upstream.id)?.pool.id;
            if (pool) {
                dispatcher.pump(pool);
            }
        },
    });
    const leases = createRunningLeases({ clock, health, estimateOf: dispatcher.estimateOf });

    const mergeState = (state: PhaseState): void => {
        const known = view.upstreams.get(state.upstream);
        if (known) {
            health.merge(known.upstream, state);
        }
    };

    const recovering = createRecoveryDriver({
        clock,
        sender,
        recovery,
        totals,
        onState: mergeState,
        onProgress: dispatcher.pumpAll,
    });

    const beginRecovery = (gained: readonly Slot[]): void => {
        if (gained.length > 0 && policy.asksForHeldSlots) {
            const others = view.vms.filter(vm => !isSelf(vm));
            recovery.begin(gained, others, policy.restartWaitMs(view.document));
            recovering.tick();
        }
    };

    const noteServiceChanges = (before: DocumentView): void =>
        view.upstreams.forEach(({ upstream, inService }) => {
            const old = before.upstreams.get(upstream.id);
            if (old && (old.inService !== inService || old.upstream.url !== upstream.url)) {
                health.noteServiceChange(upstream);
            }
        });

    const hasUpstream = ({ pool, exclude }: SlotRequest): boolean =>
        [...view.upstreams.values()].some(known =>
            known.pool.id === pool && known.inService && !exclude.includes(known.upstream.id)
        );

    const refuseWhere = (kind: QueueRefusal["kind"], matches: (waiter: Waiter) => boolean): void =>
        dispatcher.queues().forEach(queue =>
            queue.waiters().filter(matches).forEach(waiter => dispatcher.refuse(waiter, kind))
        );

    const adopt = (document: documents.FleetDocument): void => {
        const before = view;
        view = createDocumentView(document, policy);
        const gained = table.adopt(view);
        recovery.retain(view.vms);
        beginRecovery(gained);
        noteServiceChanges(before);
        refuseWhere("no-upstream", waiter => !hasUpstream(waiter.request));
        dispatcher.pumpAll();
    };

    let silentBefore = "";
    const refreshRoles = (): void => {
        const silent = view.vms.filter(vm => !isSelf(vm) && silence.isSilent(vm)).join();
        if (silent !== silentBefore || table.hasWaiting) {
            silentBefore = silent;
            beginRecovery(table.refresh());
        }
    };

    const tick = (): void => {
        const nowMs = clock.nowMs();
        silence.tick();
        totals.sample();
        refreshRoles();
        recovering.tick();
        lender.tick();
        borrower.tick();
        refuseWhere("deadline", waiter => waiter.deadlineMs <= nowMs);
        dispatcher.pumpAll();
    };

    const refusalOf = (request: SlotRequest, deadlineMs: number): QueueRefusal | undefined => {
        const waiting = dispatcher.queueOf(request.pool).lengthOf(request.customer);
        const expectedMs = Math.round(dispatcher.estimateOf(request.pool).expectedMs(request.customer, waiting));
        if (!hasUpstream(request)) {
            return { kind: "no-upstream", retryAfterMs: constants.maxHoldOffMs };
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
            dispatcher.pump(request.pool);
        });

    const tellAgain = (): void => {
        phases.tellAgain();
        totals.tellAgain();
    };

    const noteHeard = (from: core.VmId): void => {
        if (silence.noteHeard(from) > constants.gossipGapMs) {
            tellAgain();
        }
    };

    const undo = [
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
                noteHeard,
            }),
        ),
        gossip.registerSection(createSchedulingSection({
            clock,
            keys: () => view.gossipKeys,
            onMessage: noteHeard,
            onReadable: tellAgain,
            totals,
            phases,
            quarantine,
            hints: () => [...view.pools.keys()].map(pool => ({ pool, free: dispatcher.freeSlots(pool) })),
            onState: mergeState,
            onHint: (from, pool, free) => wantSender.noteHint(pool, from, free),
        })),
        core.setRepeatingTimer(clock, constants.tickMs, tick),
    ];
    beginRecovery(table.adopt(view));
    const subscription = options.document.changes.subscribe(document => {
        if (document !== view.document) {
            adopt(document);
        }
    });

    return {
        acquire(request, signal) {
            const poolDeadlineMs = view.pools.get(request.pool)?.deadlineMs ?? 0;
            const deadlineMs = Math.min(request.deadlineMs, clock.nowMs() + poolDeadlineMs);
            if (request.exclude.length === 0) {
                budget.noteRequest();
            }
            if (signal.aborted) {
                return Promise.resolve(err({ kind: "cancelled", retryAfterMs: 0 }));
            }
            const refusal = refusalOf(request, deadlineMs);
            return refusal ? Promise.resolve(err(refusal)) : enqueue(request, deadlineMs, signal);
        },
        mayRetry: budget.take,
        isQuarantined: quarantine.isQuarantined,
        noteCrash(fingerprint, upstream) {
            if (quarantine.note({ fingerprint, upstream, ageMs: 0 })) {
                gossip.requestExchange();
            }
        },
        status: () =>
            createSchedulerStatus({ view, table, phases, leases, totals, quarantine, queues: dispatcher.queues() }),
        dispose() {
            undo.forEach(each => each());
            subscription.unsubscribe();
            wantSender.dispose();
            refuseWhere("cancelled", () => true);
        },
    };
}
