import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type {
    AttemptReport,
    LearnedRate,
    SharedPart,
    StatedQueue,
    Tracker,
    TrackerAnswer,
    TrackerQuestion,
} from "@peridotloft/fleet";
import type * as telemetry from "@peridotloft/telemetry";
import { createEngineRate, type EngineRate } from "./EngineRate.js";
import type { PromptPart } from "./Job.js";
import { isSameRate } from "./KnownRate.js";
import { createLimitState, type LimitState } from "./LimitState.js";
import { baseFirstEventMs, expectedWaitMs } from "./Placement.js";
import { createPrefixCache, type PrefixCache } from "./PrefixCache.js";
import { createPromptQueue, type PromptQueue } from "./PromptQueue.js";
import { createSlowness, type Slowness } from "./Slowness.js";
import { createTokenBucket, type TokenBucket } from "./TokenBucket.js";
import { createTypicalRates } from "./TypicalRate.js";
import { createUpstreamHealth, type UpstreamHealth } from "./UpstreamHealth.js";
import { coldRateShare, type UpstreamState } from "./UpstreamTable.js";

export interface UpstreamTrackerOptions {
    readonly clock: core.Clock;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** Undefined if this VM does not know the upstream. */
    readonly stateOf: (upstreamHash: number) => TrackedState | undefined;
    /** Prompt tokens that an engine of the pool prefills per ms, as stated by the configuration. */
    readonly prefillTokensPerMs: (pool: core.PoolId) => number;
    /** The rate of each engine of a pool; undefined if this VM does not know it. */
    readonly learnedRates: (pool: core.PoolId) => readonly (LearnedRate | undefined)[];
    /** Capacity in tokens of the KV cache of an engine of the pool. */
    readonly cacheTokens: (pool: core.PoolId) => number;
    /** Requests per second that a cold upstream of the pool accepts; 0 if there is no limit. */
    readonly coldRatePerS: (pool: core.PoolId) => number;
    /** Queues of other engines of the pool that are stated in answers. */
    readonly queuesToState: (pool: core.PoolId) => readonly StatedQueue[];
}

/** What this VM knows itself of an upstream that it tracks. */
type TrackedState = Pick<UpstreamState, "upstream" | "learnedMs" | "limit" | "rate" | "isCold">;

interface ExpectedEnd {
    readonly ticket: number;
    readonly atMs: number;
}

/** State of an upstream from the questions and reports of all VMs. */
interface TrackedUpstream {
    readonly upstream: catalog.KnownUpstream;
    /** Whether it may have cached prefixes before this VM began to track it. */
    readonly isTakenOver: boolean;
    readonly trackedSinceMs: number;
    readonly queue: PromptQueue;
    /** Shared prompt parts in its prefix cache. */
    readonly cache: PrefixCache;
    readonly slowness: Slowness;
    readonly rate: EngineRate;
    readonly health: UpstreamHealth;
    /** The limit that the upstream states, for the requests of all VMs. */
    readonly limit: LimitState;
    /** Bounds the requests of all VMs while it is cold. */
    readonly coldLimiter: TokenBucket;
    /** Tickets of the requests in flight, and the times in ms at which they are expected to end. */
    expectedEnds: readonly ExpectedEnd[];
    lastAskedMs: number;
}

/** Share of an engine's KV cache that holds shared prompt parts; running requests need the rest. */
const sharedCacheShare = 0.5;
/**
 * Time in ms for which a tracker that has taken over an upstream assumes that all shared parts are cached there. Requests
 * that the previous tracker admitted, or that were sent before the start of this process, had them prefilled.
 */
const takeoverGraceMs = 5_000;
/** Time in ms without questions after which an upstream is no longer tracked. */
const idleEvictionMs = 10_000;

/** Tracks the load of the upstreams about which other VMs ask this VM. */
export function createUpstreamTracker(options: UpstreamTrackerOptions): Tracker {
    const { clock, log, metrics } = options;
    const trackedUpstreams = new Map<number, TrackedUpstream>();
    const typicalRateOf = createTypicalRates(clock, options.learnedRates);
    const startedMs = clock.nowMs();
    let lastSweepMs = startedMs;

    function stateOf(upstreamHash: number): TrackedUpstream | undefined {
        const known = options.stateOf(upstreamHash);
        return known && track(upstreamHash, known);
    }

    function track(upstreamHash: number, known: TrackedState): TrackedUpstream {
        evictIdle();
        const state = trackedUpstreams.get(upstreamHash);
        if (state && state.upstream.startedWallMs === known.upstream.startedWallMs) {
            return state;
        }
        const created = createState(known);
        trackedUpstreams.set(upstreamHash, created);
        log.state("upstream-tracked", {
            upstream: known.upstream.id,
            isTakenOver: created.isTakenOver,
            tracked: trackedUpstreams.size,
        });
        return created;
    }

    function createState({ upstream, learnedMs, rate }: TrackedState): TrackedUpstream {
        const nowMs = clock.nowMs();
        const slowness = createSlowness();
        return {
            upstream,
            isTakenOver: nowMs - learnedMs >= takeoverGraceMs || learnedMs - startedMs < takeoverGraceMs,
            trackedSinceMs: nowMs,
            queue: createPromptQueue(
                () => options.prefillTokensPerMs(upstream.pool) * rate.prefillSpeed() / slowness.value(clock.nowMs()),
                baseFirstEventMs,
            ),
            cache: createPrefixCache(() => options.cacheTokens(upstream.pool) * sharedCacheShare),
            slowness,
            rate: createEngineRate({
                statedTokensPerMs: () => options.prefillTokensPerMs(upstream.pool),
                known: rate,
                typical: () => typicalRateOf(upstream.pool),
                onStep: (next, previous) => recordStep(upstream, next, previous),
            }),
            health: createUpstreamHealth((forMs, failureShare) => {
                metrics.count("ejections");
                log.state("tracked-upstream-ejected", { upstream: upstream.id, forMs, failureShare });
            }),
            limit: createLimitState(() => 1),
            coldLimiter: createTokenBucket(
                () => options.coldRatePerS(upstream.pool) * coldRateShare,
                Math.max(1, options.coldRatePerS(upstream.pool) * (1 - coldRateShare)),
                nowMs,
            ),
            expectedEnds: [],
            lastAskedMs: nowMs,
        };
    }

    function recordStep(upstream: catalog.KnownUpstream, next: LearnedRate, previous: LearnedRate | undefined): void {
        metrics.count("engineSpeedChanges");
        log.state("engine-speed", {
            upstream: upstream.id,
            upstreamStartedWallMs: upstream.startedWallMs,
            prefillStep: next.prefillStep,
            previousPrefillStep: previous?.prefillStep ?? 0,
            prefillTokensPerMs: next.prefillTokensPerMs,
            generationStep: next.generationStep,
            previousGenerationStep: previous?.generationStep ?? 0,
            generationSpeed: next.generationSpeed,
        });
    }

    function evictIdle(): void {
        const nowMs = clock.nowMs();
        if (nowMs - lastSweepMs >= idleEvictionMs) {
            lastSweepMs = nowMs;
            [...trackedUpstreams].filter(([, { lastAskedMs }]) => nowMs - lastAskedMs >= idleEvictionMs)
                .forEach(([hash]) => trackedUpstreams.delete(hash));
        }
    }

    /** Tokens of a prompt that the engine has not cached and must prefill. */
    function uncachedTokens(state: TrackedUpstream, question: TrackerQuestion, nowMs: number): number {
        const sharedTokens = sumOfTokens(question.sharedParts);
        const sharedCachedTokens = isAssumedCached(state, nowMs)
            ? sharedTokens
            : state.cache.cachedTokens(partsOf(question));
        return question.ownTokens + sharedTokens - sharedCachedTokens;
    }

    /** Takes a permit if the upstream is cold. */
    function tryTakeColdPermit({ upstream, coldLimiter }: TrackedUpstream, known: TrackedState): boolean {
        return !known.isCold() || options.coldRatePerS(upstream.pool) === 0 || coldLimiter.tryTake(clock.nowMs());
    }

    // After a takeover the cache content is unknown, so all shared parts count as cached for a grace time.
    function isAssumedCached({ isTakenOver, trackedSinceMs }: TrackedUpstream, nowMs: number): boolean {
        return isTakenOver && nowMs - trackedSinceMs < takeoverGraceMs;
    }

    function removeFromQueue(state: TrackedUpstream, ticket: number): void {
        state.queue.remove(ticket);
        state.rate.remove(ticket);
    }

    return {
        answer(question): TrackerAnswer {
            const known = options.stateOf(question.upstreamHash);
            if (!known) {
                // The catalog of this VM is behind that of the sender, so the sender's choice is accepted.
                return { ...unknownUpstreamAnswer, newTokens: question.ownTokens + sumOfTokens(question.sharedParts) };
            }
            const state = track(question.upstreamHash, known);
            const nowMs = clock.nowMs();
            state.lastAskedMs = nowMs;
            state.rate.adopt(question.learnedRate);
            state.expectedEnds = state.expectedEnds.filter(({ atMs }) => atMs > nowMs);
            const running = state.expectedEnds.length;
            const unreadTokens = state.queue.queuedTokens(nowMs);
            const newTokens = uncachedTokens(state, question, nowMs);
            const slowness = state.slowness.value(nowMs);
            const prefillTokensPerMs = options.prefillTokensPerMs(state.upstream.pool) * known.rate.prefillSpeed();
            const load = { unreadTokens, newTokens, running, slowness };
            const waitMs = expectedWaitMs(load, prefillTokensPerMs);
            const prefixPrefillMs = question.isSpillover
                ? Math.max(0, newTokens - question.ownTokens) / prefillTokensPerMs
                : 0;
            const ejected = state.health.isEjected(nowMs);
            const hasCapacity = !ejected && running < state.upstream.slots * question.maxSlotShare
                && waitMs + prefixPrefillMs <= question.longestWaitMs && tryTakeColdPermit(state, known);
            [question.statedLimit, known.limit.current(nowMs)]
                .forEach(limit => state.limit.adopt(limit, nowMs));
            const granted = hasCapacity && state.limit.tryTake(nowMs);
            const statedLimit = state.limit.current(nowMs);
            const currentRate = known.rate.current();
            const learnedRate = isSameRate(question.learnedRate, currentRate) ? undefined : currentRate;
            const otherQueues = options.queuesToState(state.upstream.pool);
            const limited = hasCapacity && !granted;
            const answer = { ...load, granted, ejected, limited, statedLimit, learnedRate, otherQueues };
            if (!granted) {
                return { ...answer, ticket: 0 };
            }
            const runMs = question.runMs / known.rate.generationSpeed();
            // An engine may have cached more than this model of its cache, but hardly less.
            const isCacheKnown = state.cache.cachedTokens(partsOf(question)) === sumOfTokens(question.sharedParts);
            state.cache.touch(partsOf(question));
            state.health.recordDispatch(nowMs);
            const ticket = state.queue.add(newTokens, nowMs);
            const atMs = nowMs + waitMs + newTokens / prefillTokensPerMs + runMs;
            state.expectedEnds = [...state.expectedEnds, { ticket, atMs }];
            state.rate.recordAdmitted(ticket, isCacheKnown ? newTokens : undefined, nowMs);
            return { ...answer, ticket };
        },
        recordReport(report: AttemptReport) {
            const { ticket, withdrawn, failed, unreachable, tookMs, expectedMs } = report;
            const state = stateOf(report.upstreamHash);
            if (!state) {
                return;
            }
            const nowMs = clock.nowMs();
            const isAdmittedHere = state.queue.hasIssued(ticket);
            if (withdrawn) {
                metrics.count("trackerReports", { admission: "withdrawn" });
                removeFromQueue(state, ticket);
                state.expectedEnds = state.expectedEnds.filter(end => end.ticket !== ticket);
                return;
            }
            metrics.count("trackerReports", { admission: isAdmittedHere ? "own" : "none" });
            state.health.record(unreachable ? "connect-failed" : failed ? "failed" : "ok", nowMs);
            state.rate.recordRuns(report.runMs, report.expectedRunMs);
            if (failed) {
                removeFromQueue(state, ticket);
            }
            else if (isAdmittedHere) {
                // What others expected of the engine, without the queue known here, says nothing of the estimates made here.
                state.queue.confirm(ticket, nowMs);
                if (expectedMs > 0) {
                    state.slowness.record(tookMs, expectedMs, nowMs);
                    state.rate.recordFirstEvent(ticket, tookMs, nowMs);
                }
                else {
                    state.rate.remove(ticket);
                }
            }
        },
        recordLimit: ({ upstreamHash, statedLimit }) =>
            void stateOf(upstreamHash)?.limit.adopt(statedLimit, clock.nowMs()),
    };
}

const unknownUpstreamAnswer = {
    granted: true,
    ejected: false,
    limited: false,
    unreadTokens: 0,
    running: 0,
    slowness: 1,
    ticket: 0,
    statedLimit: undefined,
    learnedRate: undefined,
    otherQueues: [],
};

function sumOfTokens(parts: readonly SharedPart[]): number {
    return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}

function partsOf({ sharedParts }: TrackerQuestion): readonly PromptPart[] {
    return sharedParts.map(({ hash, tokens }) => ({ id: String(hash), tokens }));
}
