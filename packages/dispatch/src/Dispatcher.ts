import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import { createWithdrawal, type TrackerQuestion, type TrackerReply } from "@peridotloft/fleet";
import type * as telemetry from "@peridotloft/telemetry";
import { err, ok, type Result } from "neverthrow";
import { customerHashOf } from "./CustomerUsage.js";
import {
    computeRetryAfterMs,
    type EngineAdmissionInput,
    isRefusedForUsage,
    isSpillWorthwhile,
    maxSlotShare,
    maxSpillWaitMs,
    maxWaitMs,
    maySpill,
} from "./EngineAdmission.js";
import { createEngineBalancer, type EngineOffers } from "./EngineBalancer.js";
import { createEngineLoadView, type EngineLoadView } from "./EngineLoadView.js";
import { createFleetUsage } from "./FleetUsage.js";
import type { FleetView } from "./FleetView.js";
import { type DispatchRefusal, type Job, type Lease, type Prompt, sharedPartsOf } from "./Job.js";
import type { StreamOrigin } from "./OriginHistory.js";
import {
    chooseService,
    type EngineLoad,
    expectedFirstEventMs,
    expectedServiceMs,
    expectedWaitMs,
} from "./Placement.js";
import { createPoisonGuard } from "./PoisonGuard.js";
import { createRetryBudget, type RetryBudget } from "./RetryBudget.js";
import { createTrackedLoad } from "./TrackedLoad.js";
import { type Admission, type BrokenAttempt, createUpstreamTable, type UpstreamState } from "./UpstreamTable.js";
import { createUpstreamTracker } from "./UpstreamTracker.js";
import { createUsageCharges } from "./UsageCharges.js";
import { createUsageReport } from "./UsageReport.js";
import { selectByWeightedRendezvous } from "./WeightedRendezvous.js";

export interface DispatcherOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly catalog: core.SnapshotCell<catalog.CatalogSnapshot>;
    readonly fleet: FleetView;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
}

/** Chooses upstreams for requests and decides which requests are refused. */
export interface Dispatcher {
    /**
     * Returns a lease on an upstream, or a refusal. A refused request has not run.
     *
     * @param avoided upstreams that are not chosen: the request was sent there before, or the connection failed.
     * @param isRetry whether the request was sent to an upstream before. Retries are limited by a budget.
     * @param origin of the stream that goes on; undefined for a new request. Only upstreams with this origin are chosen.
     */
    acquire(
        job: Job,
        avoided: ReadonlySet<core.UpstreamId>,
        isRetry: boolean,
        origin?: StreamOrigin,
    ): Promise<Result<Lease, DispatchRefusal>>;
    /** Usage of a customer relative to that of the heaviest customer, 0 to 1. */
    relativeUsage(customer: core.CustomerId | undefined): number;
    dispose(): void;
}

/** Retry-After in ms while no upstream is known: live upstreams register again within about 2 s. */
const noUpstreamRetryAfterMs = 500;
/** Retry-After in ms when all upstreams are at capacity or cold. */
const overloadRetryAfterMs = 400;
/** Maximum number of paused upstreams that a log line names. */
const maxLoggedPauses = 8;
/** Time in ms after the end of a pause over which refused callers are spread. */
const pauseSpreadMs = 400;
/** Maximum number of trackers that are asked in addition, about upstreams that are ejected or have reached their limit. */
const maxUnavailableCandidates = 4;
/** Maximum time in ms for which an upstream whose limit is reached is left out, before random jitter. */
const maxPostponementMs = 500;
/** Maximum number of trackers that are asked about one request; each question may delay it by up to 40 ms. */
const maxCandidates = 3;

/** The upstream chosen for a request. */
interface ChosenUpstream {
    readonly load: EngineLoad;
    /** Rank of the upstream in the rendezvous order of the session; 0 is the primary one. */
    readonly candidateRank: number;
    /** Whether it is a cold upstream that takes what the others have no capacity for. */
    readonly isOverflow: boolean;
    /** Expected time in ms to the first byte. */
    readonly expectedMs: number;
    readonly admission: () => Admission;
}

/** Engines that may be asked to admit a prompt. */
interface EngineCandidates {
    readonly candidates: readonly UpstreamState[];
    /** Cold engines, which take what the candidates have no capacity for. */
    readonly overflow: readonly UpstreamState[];
    /** Whether an upstream has worked on the request before. */
    readonly isContinued: boolean;
}

/** A prompt as trackers are asked about it. */
interface AskedPrompt extends Pick<TrackerQuestion, "sharedParts" | "ownTokens"> {
    readonly prompt: Prompt;
}

/** The terms on which an engine is asked to admit a prompt. */
interface OfferTerms {
    readonly waitLimitMs: number;
    /** Share of the engine's slots that may be in use. */
    readonly slotShare: number;
    /** Whether the prefill of shared parts that are not cached there counts as waiting. */
    readonly isSpillover: boolean;
}

/** The reply to an offer: of the engine's tracker, or what this VM decides in its place. */
interface OfferReply {
    /** Undefined if the tracker did not answer. */
    readonly answer: TrackerReply | undefined;
    readonly load: EngineLoad;
    /** Expected wait in ms. */
    readonly waitMs: number;
    readonly isGranted: boolean;
    /** The admission of the prompt, if the tracker granted it, in time or late. */
    readonly admission: () => Admission;
}

/** An engine that refused a prompt. */
interface RefusedEngine {
    readonly upstream: core.UpstreamId;
    readonly load: EngineLoad;
    readonly input: EngineAdmissionInput;
    /** Address of the VM whose answer this is; undefined if this VM decided without one. */
    readonly tracker: string | undefined;
    /**
     * Whether its customer has used more than its share: the session's primary engine would have admitted it for a customer
     * without usage.
     */
    readonly isOverShare: boolean;
}

/** Whether a request may be sent to an upstream of a plain service. */
interface Permit {
    readonly granted: boolean;
    /** Address of the VM that decided; undefined if this VM did. */
    readonly tracker: string | undefined;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { clock, random, fleet, log } = options;
    const poisonGuard = createPoisonGuard(options);
    const table = createUpstreamTable({
        ...options,
        onBroken,
        onBegun: poisonGuard.recordBegun,
        onResponse: poisonGuard.recordResponse,
    });
    const usage = createFleetUsage({
        clock,
        fleet,
        onAnnounced: ({ customerHash, cost }) => usageReport.recordAnnounced(customerHash, cost),
    });
    const loadViews = new Map<core.PoolId, EngineLoadView>();
    const balancer = createEngineBalancer({
        ...options,
        loadViewOf,
        slotsOf: pool => options.catalog.read().activeConfig?.pools.get(pool)?.engine?.slots,
    });
    const budgets = new Map<core.PoolId, RetryBudget>();
    const usageReport = createUsageReport({ clock, log, usage });
    const charges = createUsageCharges({ clock, fleet, usage, report: usageReport });
    const removeTracker = fleet.registerTracker(createUpstreamTracker({
        ...options,
        stateOf: table.stateOfHash,
        prefillTokensPerMs: table.prefillTokensPerMs,
        learnedRates: table.learnedRates,
        cacheTokens: table.cacheTokens,
        coldRatePerS: table.coldRatePerS,
        queuesToState: balancer.queuesToState,
    }));
    const trackedLoad = createTrackedLoad(clock);

    function onBroken({ job, upstream, runMs }: BrokenAttempt): void {
        log.failure("attempt-broken", {
            requestId: job.requestId,
            upstream: upstream.id,
            upstreamStartedWallMs: upstream.startedWallMs,
            sharedParts: sharedPartsOf(job.prompt).map(({ id }) => id).join(),
            hasResponse: runMs !== undefined,
            runMs: runMs && Math.round(runMs),
        });
        poisonGuard.recordCrash(job, upstream, runMs);
    }

    function relativeUsage(customer: core.CustomerId | undefined): number {
        return usage.relative(customerHashOf(customer), clock.nowMs());
    }

    function retryBudgetFor(pool: core.PoolId): RetryBudget {
        const budget = budgets.get(pool) ?? createRetryBudget();
        budgets.set(pool, budget);
        return budget;
    }

    function loadViewOf(pool: core.PoolId): EngineLoadView {
        const view = loadViews.get(pool) ?? createEngineLoadView(clock.nowMs);
        loadViews.set(pool, view);
        return view;
    }

    function refuseOverload(job: Job, { upstream, load, input, tracker, isOverShare }: RefusedEngine): DispatchRefusal {
        const retryAfterMs = computeRetryAfterMs(input, random);
        log.failure("admission-refused", {
            requestId: job.requestId,
            customer: job.customer,
            upstream,
            waitMs: Math.round(input.waitMs),
            objectiveMs: input.objectiveMs,
            relativeUsage: input.relativeUsage,
            load: input.meanLoad,
            slotLoad: trackedLoad.slotLoad(),
            unreadTokens: Math.round(load.unreadTokens),
            running: load.running,
            slowness: load.slowness,
            tracker,
            isOverShare,
        });
        return { reason: isOverShare ? "over-share" : "overloaded", retryAfterMs };
    }

    /** Opens a lease on the chosen upstream. Fails if it was deregistered in the meantime. */
    function grantLease(job: Job, id: core.UpstreamId, chosen: ChosenUpstream): Result<Lease, DispatchRefusal> {
        const state = table.stateOf(id);
        if (!state) {
            return err({ reason: "no-upstream", retryAfterMs: noUpstreamRetryAfterMs });
        }
        log.decision("placed", {
            requestId: job.requestId,
            customer: job.customer,
            upstream: id,
            softwareVersion: state.upstream.softwareVersion,
            homeRank: chosen.candidateRank,
            isOverflow: chosen.isOverflow,
            newTokens: chosen.load.newTokens,
            unreadTokens: Math.round(chosen.load.unreadTokens),
            running: chosen.load.running,
            slowness: chosen.load.slowness,
            prefillSpeed: state.rate.prefillSpeed(),
            expectedMs: Math.round(chosen.expectedMs),
            tracker: chosen.admission().tracker,
        });
        const lease = state.openLease(job, chosen.load.newTokens, chosen.expectedMs, chosen.admission);
        return ok(charges.createChargedLease(job, lease));
    }

    /** Asks the tracker of an upstream; both tell each other the limit that the upstream states, and its learned rate. */
    async function askTracker(
        state: UpstreamState,
        question: Omit<TrackerQuestion, "upstreamHash" | "statedLimit" | "learnedRate">,
        onLateAnswer?: (answer: TrackerReply) => void,
    ): Promise<TrackerReply | undefined> {
        const answer = await fleet.askTracker({
            ...question,
            upstreamHash: state.idHash,
            statedLimit: state.limit.current(clock.nowMs()),
            learnedRate: state.rate.current(),
        }, onLateAnswer);
        state.rate.adopt(answer?.learnedRate);
        state.limit.adopt(answer?.statedLimit, clock.nowMs());
        return answer;
    }

    /** Asks the tracker of an upstream of a plain service for a permit, if the upstream may have stated a limit. */
    async function requestPermit(job: Job, state: UpstreamState): Promise<Permit> {
        // Other VMs may know of a limit that this VM has not seen yet.
        if (state.hasResponded && !state.limit.isLimited()) {
            return { granted: true, tracker: undefined };
        }
        const answer = await askTracker(state, {
            sharedParts: [],
            ownTokens: 0,
            longestWaitMs: Math.max(0, job.deadlineMs() - clock.nowMs()),
            maxSlotShare: 1,
            runMs: 0,
            isSpillover: false,
        });
        const granted = answer ? !answer.limited : state.limit.tryTake(clock.nowMs());
        return { granted, tracker: answer?.tracker };
    }

    /** Leaves an upstream out until about the next permit, so that not every request asks its tracker in vain. */
    function postpone(job: Job, state: UpstreamState): void {
        const nowMs = clock.nowMs();
        const limit = state.limit.current(nowMs);
        const intervalMs = Math.min(maxPostponementMs, 1_000 / (limit?.limitPerS ?? 1));
        const postponedMs = intervalMs * (0.5 + random());
        state.postpone(nowMs + postponedMs);
        log.decision("limit-reached", {
            requestId: job.requestId,
            upstream: state.upstream.id,
            limitPerS: limit?.limitPerS,
            limitAgeMs: limit && Math.round(nowMs - limit.atMs),
            postponedMs: Math.round(postponedMs),
        });
    }

    const withoutPostponed = (states: readonly UpstreamState[]): readonly UpstreamState[] =>
        states.filter(state => state.postponedUntilMs <= clock.nowMs());

    function refuseLimited(job: Job): DispatchRefusal {
        log.failure("limits-reached", { requestId: job.requestId, pool: job.pool });
        return { reason: "overloaded", retryAfterMs: overloadRetryAfterMs * (1 + random()) };
    }

    /** Refuses a request for which no upstream is left. Callers return from the end of the first pause on, spread out. */
    function refuseWithoutUpstream(job: Job, origin: StreamOrigin | undefined): DispatchRefusal {
        if (origin && !table.hasRoutable(job.pool, options.catalog.read(), origin)) {
            log.failure("stream-origin-removed", {
                requestId: job.requestId,
                pool: job.pool,
                softwareVersion: origin.softwareVersion,
            });
            return { reason: "origin-removed", retryAfterMs: undefined };
        }
        const pauses = table.pauses(job.pool, options.catalog.read());
        const [first] = pauses;
        if (!first) {
            return { reason: "no-upstream", retryAfterMs: noUpstreamRetryAfterMs };
        }
        const pauseMs = Math.max(0, first.untilMs - clock.nowMs());
        log.failure("upstreams-paused", {
            requestId: job.requestId,
            pool: job.pool,
            pauseMs: Math.round(pauseMs),
            paused: pauses.length,
            upstreams: pauses.slice(0, maxLoggedPauses).map(({ id }) => id).join(),
        });
        return { reason: "paused", retryAfterMs: pauseMs + random() * pauseSpreadMs };
    }

    async function acquireService(job: Job, usable: readonly UpstreamState[]): Promise<Result<Lease, DispatchRefusal>> {
        for (let asked = 0; asked < maxUnavailableCandidates; asked++) {
            const best = chooseService(
                withoutPostponed(usable).map(state => ({
                    state,
                    running: state.running(),
                    slots: state.upstream.slots,
                    failureShare: state.health.failureShare(),
                })),
                random,
            );
            if (!best?.state.tryTakeColdPermit()) {
                break;
            }
            const { granted, tracker } = await requestPermit(job, best.state);
            if (granted) {
                const load = { unreadTokens: 0, newTokens: 0, running: best.running, slowness: 1 };
                return grantLease(job, best.state.upstream.id, {
                    load,
                    candidateRank: 0,
                    isOverflow: false,
                    expectedMs: expectedServiceMs,
                    admission: () => ({ ticket: 0, tracker, isLate: false }),
                });
            }
            best.state.giveBackColdPermit();
            postpone(job, best.state);
        }
        return err(refuseLimited(job));
    }

    /** Acquires an engine, or a cold one if the others have no capacity. */
    async function acquireEngine(
        job: Job,
        prompt: Prompt,
        { candidates, overflow, isContinued }: EngineCandidates,
    ): Promise<Result<Lease, DispatchRefusal>> {
        const lease = await askEngines(job, prompt, candidates, { isOverflow: false, isContinued });
        const overflowLease = lease.isErr() && overflow.length > 0
            ? await askEngines(job, prompt, overflow, { isOverflow: true, isContinued })
            : lease;
        return (overflowLease.isOk() ? overflowLease : lease).mapErr(refuse => {
            charges.recordRefused(job);
            return refuse();
        });
    }

    /**
     * Asks the trackers of the session's engines in rendezvous order, at most three or one for an overflow, to admit the
     * prompt. The order is the same on every VM, so a session that spills over has its prefix cached by the same two or three
     * engines, whichever VM dispatches it.
     *
     * @returns the lease, or a function that logs and returns the refusal.
     */
    async function askEngines(
        job: Job,
        prompt: Prompt,
        usable: readonly UpstreamState[],
        { isOverflow, isContinued }: { readonly isOverflow: boolean; readonly isContinued: boolean; },
    ): Promise<Result<Lease, () => DispatchRefusal>> {
        const candidates = selectByWeightedRendezvous(
            sessionKey(job),
            withoutPostponed(usable),
            state => state.idHash,
            state => state.rate.prefillSpeed(),
            maxCandidates + maxUnavailableCandidates,
        );
        const asked = askedPromptOf(prompt);
        const offers = isOverflow || isContinued ? undefined : startOffers(job, prompt, candidates);
        const balanced = offers && await offerWhereSoonest(job, asked, candidates, offers);
        if (balanced) {
            return balanced;
        }
        let refused: RefusedEngine | undefined;
        let candidateRank = 0;
        for (const state of candidates) {
            if (!state.tryTakeColdPermit()) {
                continue;
            }
            const input = admissionInputOf(job);
            // A retry has already waited; refusing it, or a stream that has begun, would waste the work done for it so far.
            const waitLimitMs = isContinued
                ? job.deadlineMs() - clock.nowMs()
                : candidateRank === 0
                ? maxWaitMs(input)
                : maxSpillWaitMs(input);
            const reply = await offer(job, asked, state, {
                waitLimitMs,
                slotShare: isContinued ? 1 : slotShareOf(input),
                // Adds the repeated prefill to the wait, except for what has begun already, and for heavy customers, whose
                // prompts spill over only to idle engines.
                isSpillover: candidateRank > 0 && !isContinued && maySpill(input),
            });
            const { answer, load, waitMs, isGranted } = reply;
            const refusedHere = {
                upstream: state.upstream.id,
                load,
                input: { ...input, waitMs },
                tracker: answer?.tracker,
            };
            if (answer?.limited || answer?.ejected) {
                state.giveBackColdPermit();
                // The next candidate takes the place of this one: it is not spilled over to for lack of capacity.
                refused ??= { ...refusedHere, isOverShare: false };
                continue;
            }
            if (answer && candidateRank === 0 && !isOverflow) {
                trackedLoad.record(waitMs, Math.min(1, load.running / state.upstream.slots));
            }
            if (isGranted) {
                return grantEngine(job, state, { ...reply, candidateRank, isOverflow });
            }
            state.giveBackColdPermit();
            const isOverShare = candidateRank === 0
                ? usage.isAboveMean(customerHashOf(job.customer), clock.nowMs())
                    && isRefusedForUsage({ ...input, waitMs }, state.upstream.slots - load.running)
                : refused?.isOverShare === true;
            refused = { ...refusedHere, isOverShare };
            const isLast = candidateRank > 0 && !isContinued && !isSpillWorthwhile(input);
            candidateRank++;
            if (isLast || isOverflow || candidateRank >= maxCandidates) {
                break;
            }
        }
        return err(() => refused ? refuseOverload(job, refused) : refuseLimited(job));
    }

    function admissionInputOf(job: Job): Omit<EngineAdmissionInput, "waitMs"> {
        return {
            elapsedMs: clock.nowMs() - job.arrivedMs,
            objectiveMs: job.route.objectiveMs,
            relativeUsage: usage.pressure(customerHashOf(job.customer), clock.nowMs()),
            meanLoad: trackedLoad.value(),
        };
    }

    /** Prompt tokens that an engine prefills per ms, by its learned speed. */
    const prefillTokensPerMsOf = ({ upstream, rate }: UpstreamState): number =>
        table.prefillTokensPerMs(upstream.pool) * rate.prefillSpeed();

    const slotShareOf = ({ relativeUsage: ofCustomer }: Pick<EngineAdmissionInput, "relativeUsage">): number =>
        maxSlotShare({ relativeUsage: ofCustomer, slotLoad: trackedLoad.slotLoad() });

    /** Asks the tracker of an engine to admit a prompt. */
    async function offer(job: Job, asked: AskedPrompt, state: UpstreamState, terms: OfferTerms): Promise<OfferReply> {
        const { prompt, sharedParts, ownTokens } = asked;
        const { waitLimitMs, slotShare, isSpillover } = terms;
        const loadView = loadViewOf(job.pool);
        const askedMs = clock.nowMs();
        let isGranted = false;
        let admission: Admission = { ticket: 0, tracker: undefined, isLate: false };
        const answer = await askTracker(state, {
            sharedParts,
            ownTokens,
            longestWaitMs: Math.max(0, waitLimitMs),
            maxSlotShare: slotShare,
            runMs: table.expectedRunMs(job),
            isSpillover,
        }, late => {
            log.decision("tracker-answer-late", {
                requestId: job.requestId,
                upstream: state.upstream.id,
                tracker: late.tracker,
                lateMs: Math.round(clock.nowMs() - askedMs),
                isAdmitted: late.granted,
                isSent: isGranted,
            });
            const lateWaitMs = expectedWaitMs(late, prefillTokensPerMsOf(state));
            loadView.record({ upstreamHash: state.idHash, waitMs: lateWaitMs, ageMs: 0 });
            if (isGranted) {
                admission = { ticket: late.ticket, tracker: late.tracker, isLate: true };
            }
            else if (late.granted) {
                fleet.reportAttempt(createWithdrawal(state.idHash, late.ticket), late.tracker);
            }
        });
        if (answer) {
            admission = { ticket: answer.ticket, tracker: answer.tracker, isLate: false };
        }
        balancer.recordQuestionTime(clock.nowMs() - askedMs);
        if (answer?.limited) {
            postpone(job, state);
        }
        const load = answer ?? localLoad(prompt, state);
        const prefillTokensPerMs = prefillTokensPerMsOf(state);
        const loadWaitMs = expectedWaitMs(load, prefillTokensPerMs);
        // Without an answer, the prompts of other VMs are known only from what trackers have stated before.
        const waitMs = answer ? loadWaitMs : Math.max(loadWaitMs, loadView.waitMs(state.idHash) ?? 0);
        if (answer) {
            loadView.record({ upstreamHash: state.idHash, waitMs, ageMs: 0 });
            answer.otherQueues.forEach(loadView.record);
        }
        const hasCapacity = waitMs <= waitLimitMs && load.running < state.upstream.slots * slotShare;
        isGranted = answer?.granted ?? (hasCapacity && state.limit.tryTake(clock.nowMs()));
        if (isGranted) {
            loadView.recordSent(state.idHash, load.newTokens / prefillTokensPerMs);
        }
        return { answer, load, waitMs, isGranted, admission: () => admission };
    }

    function grantEngine(
        job: Job,
        state: UpstreamState,
        { load, admission, candidateRank, isOverflow }:
            & Pick<OfferReply, "load" | "admission">
            & Pick<
                ChosenUpstream,
                "candidateRank" | "isOverflow"
            >,
    ): Result<Lease, () => DispatchRefusal> {
        return grantLease(job, state.upstream.id, {
            load,
            candidateRank,
            isOverflow,
            expectedMs: expectedFirstEventMs(load, prefillTokensPerMsOf(state)),
            admission,
        }).mapErr(refusal => () => refusal);
    }

    /** Undefined if the engines of the pool are not balanced. */
    function startOffers(job: Job, prompt: Prompt, candidates: readonly UpstreamState[]): EngineOffers | undefined {
        const ownTokens = prompt.parts.at(-1)?.tokens ?? prompt.inputTokens;
        return balancer.startOffers(
            job.pool,
            candidates.map((state, rank) => ({
                idHash: state.idHash,
                prefillMs: (rank === 0 ? ownTokens : prompt.inputTokens) / prefillTokensPerMsOf(state),
            })),
            { objectiveMs: job.route.objectiveMs, elapsedMs: clock.nowMs() - job.arrivedMs },
        );
    }

    /**
     * Offers a prompt to up to two of its candidates, on the condition that its first event is in good time there.
     *
     * @returns undefined if neither takes it: the order of the session decides then.
     */
    async function offerWhereSoonest(
        job: Job,
        asked: AskedPrompt,
        candidates: readonly UpstreamState[],
        offers: EngineOffers,
    ): Promise<Result<Lease, () => DispatchRefusal> | undefined> {
        for (let next = offers.next(); next; next = offers.next()) {
            const state = candidates[next.index];
            const input = admissionInputOf(job);
            if (!state?.tryTakeColdPermit()) {
                return undefined;
            }
            const reply = await offer(job, asked, state, {
                waitLimitMs: Math.min(next.waitLimitMs, maxWaitMs(input)),
                slotShare: slotShareOf(input),
                isSpillover: next.index > 0,
            });
            if (reply.isGranted) {
                if (reply.answer && next.index === 0) {
                    trackedLoad.record(reply.waitMs, Math.min(1, reply.load.running / state.upstream.slots));
                }
                return grantEngine(job, state, { ...reply, candidateRank: next.index, isOverflow: false });
            }
            state.giveBackColdPermit();
            if (!reply.answer || reply.answer.limited || reply.answer.ejected) {
                return undefined;
            }
            offers.recordRefusal(next.index, reply.waitMs);
        }
        return undefined;
    }

    /** The load from this VM's own requests only, for an upstream whose tracker does not answer. */
    function localLoad(prompt: Prompt, state: UpstreamState): EngineLoad {
        const nowMs = clock.nowMs();
        return {
            unreadTokens: state.queuedTokens(nowMs),
            newTokens: Math.max(0, prompt.inputTokens - state.cache.cachedTokens(prompt.parts)),
            running: state.running(),
            slowness: state.slowness(nowMs),
        };
    }

    return {
        async acquire(job, avoided, isRetry, origin) {
            const refusal = poisonGuard.check(job);
            if (refusal) {
                return err(refusal);
            }
            const budget = retryBudgetFor(job.pool);
            if (!isRetry) {
                budget.addRequest();
            }
            const { warm, cold } = table.usableUpstreams(job.pool, options.catalog.read(), avoided, origin);
            const preferred = warm.length > 0 ? warm : cold;
            if (preferred.length === 0) {
                return err(refuseWithoutUpstream(job, origin));
            }
            if (isRetry && !budget.tryTakeRetry()) {
                return err({ reason: "retry-budget", retryAfterMs: overloadRetryAfterMs });
            }
            const candidates = table.withoutEjected(preferred);
            if (!job.prompt) {
                return acquireService(job, candidates);
            }
            const isContinued = isRetry || origin?.isRecorded === true;
            const overflow = warm.length > 0 ? table.withoutEjected(cold) : [];
            return acquireEngine(job, job.prompt, { candidates, overflow, isContinued });
        },
        relativeUsage,
        dispose() {
            usage.dispose();
            usageReport.dispose();
            removeTracker();
            poisonGuard.dispose();
            table.dispose();
        },
    };
}

/** Hashes the shared parts of a prompt, once for all trackers that are asked about it. */
function askedPromptOf(prompt: Prompt): AskedPrompt {
    const sharedParts = sharedPartsOf(prompt).map(({ id, tokens }) => ({ hash: core.hash32(id), tokens }));
    const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
    return { prompt, sharedParts, ownTokens: Math.max(0, prompt.inputTokens - sharedTokens) };
}

/** Rendezvous key that leads the requests of one session to the same engine: the id of the last shared part of the prompt. */
function sessionKey({ prompt, requestId }: Job): string {
    return prompt?.parts.at(-2)?.id ?? prompt?.parts.at(-1)?.id ?? requestId;
}
