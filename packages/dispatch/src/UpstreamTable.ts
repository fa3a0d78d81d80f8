import type * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type { AttemptReport, LearnedRate } from "@peridotloft/fleet";
import type * as telemetry from "@peridotloft/telemetry";
import type { FleetView } from "./FleetView.js";
import type { AttemptOutcome, Job, Lease } from "./Job.js";
import { createKnownRate, type KnownRate } from "./KnownRate.js";
import type { LimitState } from "./LimitState.js";
import { type Backlog, createBacklog } from "./LoadModel.js";
import type { StreamOrigin } from "./OriginHistory.js";
import { createPrefixCache, type PrefixCache } from "./PrefixCache.js";
import { createRunTimes } from "./RunTimes.js";
import { createSlowness } from "./Slowness.js";
import { createTokenBucket, type TokenBucket } from "./TokenBucket.js";
import { createUpstreamHealth, isFailure, type UpstreamHealth } from "./UpstreamHealth.js";
import { createUpstreamStatements, type ResponseStatements, type UpstreamStatements } from "./UpstreamStatements.js";

export interface UpstreamTableOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly catalog: core.SnapshotCell<catalog.CatalogSnapshot>;
    readonly fleet: FleetView;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
    /** Called for each attempt whose connection closed before the response was complete. */
    readonly onBroken: (attempt: BrokenAttempt) => void;
    /** Called once for each attempt with a response: at the first event of a stream, or before `onResponse`. */
    readonly onBegun: (job: Job, upstream: catalog.KnownUpstream) => void;
    /** Called when an upstream has sent a complete response. */
    readonly onResponse: (job: Job, upstream: catalog.KnownUpstream) => void;
}

/** An attempt whose connection closed before the response was complete. */
export interface BrokenAttempt {
    readonly job: Job;
    readonly upstream: catalog.KnownUpstream;
    /** Time in ms since the first event of a stream; undefined if it had not arrived. */
    readonly runMs: number | undefined;
}

/** The admission of an attempt by the tracker of its upstream. */
export interface Admission {
    /** 0 if no tracker admitted it. */
    readonly ticket: number;
    /** IPv4 address of the VM that answered; undefined if none did. */
    readonly tracker: string | undefined;
    /** Whether the answer came after the prompt had been sent, so that what the tracker expected is not known for that time. */
    readonly isLate: boolean;
}

/** What is observed of an attempt; times in ms. */
type ObservedAttempt = Pick<AttemptReport, "failed" | "unreachable" | "tookMs" | "expectedMs">;

/** State of one upstream as known to this VM. */
export interface UpstreamState {
    readonly upstream: catalog.KnownUpstream;
    /** Hash of the upstream's id. */
    readonly idHash: number;
    /** Time in ms at which this VM learned of the upstream's current run. */
    readonly learnedMs: number;
    readonly health: UpstreamHealth;
    readonly cache: PrefixCache;
    /** Requests of this VM in flight at the upstream. */
    running(): number;
    /** Prompt tokens of this VM's requests queued for prefill there. */
    queuedTokens(nowMs: number): number;
    /** Ratio of the recently observed time to first event to the expected one. */
    slowness(nowMs: number): number;
    /** The limit that the upstream states; its permits are this VM's share, for the time in which its tracker does not reply. */
    readonly limit: LimitState;
    /** The rate of the current run that other VMs, or this one, have learned. */
    readonly rate: KnownRate;
    /** Whether this VM has had a response of the upstream's current run. */
    readonly hasResponded: boolean;
    /** Time in ms until which the upstream is left out because its limit is exhausted. */
    readonly postponedUntilMs: number;
    postpone(untilMs: number): void;
    isCold(): boolean;
    /** Takes one of this VM's permits for a cold upstream; false if there is none. A warm upstream needs none. */
    tryTakeColdPermit(): boolean;
    /** Returns the permit of a request that was not sent. */
    giveBackColdPermit(): void;
    /** @param admission may change until the attempt ends: the tracker's answer may come late. */
    openLease(job: Job, newTokens: number, expectedMs: number, admission: () => Admission): Lease;
}

/** A pause that an upstream has asked this VM for. */
export interface UpstreamPause {
    readonly id: core.UpstreamId;
    readonly untilMs: number;
}

/** The upstreams that accept requests now. */
export interface UsableUpstreams {
    readonly warm: readonly UpstreamState[];
    /** The cold ones for which this VM has a permit now. They have little capacity. */
    readonly cold: readonly UpstreamState[];
}

/** Time in ms in which the entry of an upstream that has started again reaches this VM. */
const reregistrationMs = 3_000;

/** The state of each registered upstream. */
export interface UpstreamTable {
    /** Undefined if the upstream is not registered. */
    stateOf(id: core.UpstreamId): UpstreamState | undefined;
    stateOfHash(idHash: number): UpstreamState | undefined;
    /**
     * Upstreams of a pool that accept requests now: not leaving, paused, evacuated or avoided.
     *
     * @param origin of the stream with which they go on; undefined for a new request.
     */
    usableUpstreams(
        pool: core.PoolId,
        snapshot: catalog.CatalogSnapshot,
        avoided: ReadonlySet<core.UpstreamId>,
        origin?: StreamOrigin,
    ): UsableUpstreams;
    /** Whether an upstream of a pool that is neither leaving nor evacuated can go on with a stream. */
    hasRoutable(pool: core.PoolId, snapshot: catalog.CatalogSnapshot, origin: StreamOrigin): boolean;
    /** The upstreams of a pool that are paused, and the times in ms at which their pauses end; the first to end comes first. */
    pauses(pool: core.PoolId, snapshot: catalog.CatalogSnapshot): readonly UpstreamPause[];
    /**
     * The upstreams that are not ejected, or all of them if more than half are: so many failures at once have a common
     * cause, not single faulty upstreams.
     */
    withoutEjected(states: readonly UpstreamState[]): readonly UpstreamState[];
    /** Prompt tokens that an engine of the pool prefills per ms, as stated by the configuration. */
    prefillTokensPerMs(pool: core.PoolId): number;
    /** The rate of each engine of a pool; undefined if this VM does not know it. */
    learnedRates(pool: core.PoolId): readonly (LearnedRate | undefined)[];
    /** Expected time in ms from the first event of a prompt to its last. */
    expectedRunMs(job: Job): number;
    /** Capacity in tokens of the KV cache of an engine of the pool. */
    cacheTokens(pool: core.PoolId): number;
    /** Requests per second that a cold upstream of the pool accepts from all VMs; 0 if there is no limit. */
    coldRatePerS(pool: core.PoolId): number;
    dispose(): void;
}

/**
 * One in this many first events is reported to the tracker. Engines prefill in order of arrival, so the report confirms
 * the earlier prompts too, and each report costs about as much as a question.
 */
const firstEventsPerReport = 2;
/** Share of a cold upstream's rate limit that the fleet uses. The rest is for VMs that are not known yet. */
export const coldRateShare = 0.8;
/** VM count assumed while no other VM is known, so that VMs that have just started cannot overload a cold upstream. */
const assumedVmCount = 10;
/**
 * Ratio of the assumed prefill rate to an engine's share of the configured throughput. Engines prefill about 1.7 times as
 * fast as that share; the difference is reserved for generating the tokens of running requests.
 */
const prefillRateRatio = 1.5;
/** Prefill rate in tokens/ms if the configuration states no throughput. */
const defaultPrefillTokensPerMs = 40;
/** Run time in ms per generated token before any run is observed, and the weight of the newest run in the average. */
const initialMsPerToken = 8;
const msPerTokenWeight = 0.05;

export function createUpstreamTable(options: UpstreamTableOptions): UpstreamTable {
    const { clock, random, log, metrics, fleet } = options;
    const states = new Map<core.UpstreamId, MutableState>();
    const byHash = new Map<number, MutableState>();
    const routableByPool = new Map<core.PoolId, readonly MutableState[]>();
    const ejectedStates = new Set<UpstreamState>();
    /** Upstreams that have stated that they leave, or that they want no requests for a time. */
    const unavailableStates = new Set<MutableState>();
    let routableSnapshot: catalog.CatalogSnapshot | undefined;
    /** Time in ms from which no upstream is cold. */
    let lastColdUntilMs = Number.NEGATIVE_INFINITY;
    const largestPoolSize = new Map<core.PoolId, number>();
    const msPerToken = new Map<core.PoolId, number>();
    const runTimes = createRunTimes();

    function poolOf(id: core.PoolId): catalog.Pool | undefined {
        return options.catalog.read().activeConfig?.pools.get(id);
    }

    function prefillTokensPerMs(pool: core.PoolId): number {
        const tokensPerS = options.catalog.read().activeConfig?.config.limits.tokensPerS;
        const count = largestPoolSize.get(pool) ?? 0;
        return tokensPerS === undefined || count === 0
            ? defaultPrefillTokensPerMs
            : (tokensPerS / 1_000 / count) * prefillRateRatio;
    }

    function cacheTokens(pool: core.PoolId): number {
        return poolOf(pool)?.engine?.cacheTokens ?? 0;
    }

    function coldRatePerS(pool: core.PoolId): number {
        return Math.max(0, poolOf(pool)?.coldRatePerS ?? 0);
    }

    const subscription = options.catalog.changes.subscribe(snapshot => {
        snapshot.upstreamsByPool.forEach((list, pool) =>
            largestPoolSize.set(pool, Math.max(largestPoolSize.get(pool) ?? 0, list.length))
        );
        [...states].filter(([id]) => !snapshot.upstreams.has(id)).forEach(([id, state]) => {
            unavailableStates.delete(state);
            states.delete(id);
            byHash.delete(core.hash32(id));
        });
        snapshot.upstreams.forEach(upstream => {
            const known = states.get(upstream.id);
            if (known?.upstream === upstream) {
                return;
            }
            if (known && isSameRun(known.upstream, upstream)) {
                known.upstream = upstream;
                setColdUntil(known, Math.max(coldUntilMsOf(upstream), known.statements.coldUntilMs() ?? 0));
                return;
            }
            if (known) {
                unavailableStates.delete(known);
            }
            // An upstream that restarts under the same id has lost its cache and its requests.
            const state = createState(upstream);
            states.set(upstream.id, state);
            byHash.set(state.idHash, state);
        });
    });

    const removeGauges = (["leaving", "paused"] as const).map(reason =>
        metrics.registerGauge(
            `upstreams_${reason}`,
            `Upstreams left out since they stated that they are ${reason}.`,
            () =>
                [...unavailableStates].filter(({ statements }) =>
                    statements.unavailability(clock.nowMs())?.reason === reason
                ).length,
        )
    );

    const removeSpeedGauges = ([["faster", 1], ["slower", -1]] as const).map(([name, sign]) =>
        metrics.registerGauge(
            `upstreams_${name}`,
            `Engines that are known to prefill prompts ${name} than most of their pool.`,
            () =>
                [...states.values()].filter(({ rate }) => Math.sign(rate.current()?.prefillStep ?? 0) === sign).length,
        )
    );

    // The catalog's clock includes steps of the wall clock, which this clock does not.
    function coldUntilMsOf({ coldUntilMs, learnedMs }: catalog.KnownUpstream): number {
        return clock.nowMs() + coldUntilMs - learnedMs;
    }

    function setColdUntil(state: MutableState, untilMs: number): void {
        state.coldUntilMs = untilMs;
        lastColdUntilMs = Math.max(lastColdUntilMs, untilMs);
    }

    function createState(upstream: catalog.KnownUpstream): MutableState {
        // The VMs share the cache of an engine; this VM assumes an equal share for the prompts that it sends.
        const localCacheTokens = (): number => cacheTokens(upstream.pool) / Math.max(1, fleet.vmCount());
        const slowness = createSlowness();
        const rate = createKnownRate(upstream);
        const statements = createUpstreamStatements(() => 1 / Math.max(1, fleet.vmCount()));
        const state: MutableState = {
            upstream,
            idHash: core.hash32(upstream.id),
            learnedMs: clock.nowMs(),
            coldUntilMs: Number.NEGATIVE_INFINITY,
            localRunning: 0,
            localQueuedTokens: 0,
            coldLimiter: undefined,
            statements,
            limit: statements.limit,
            rate,
            unreportedRunMs: 0,
            unreportedExpectedRunMs: 0,
            hasResponded: false,
            unreachableMs: Number.NEGATIVE_INFINITY,
            postponedUntilMs: Number.NEGATIVE_INFINITY,
            postpone: untilMs => void (state.postponedUntilMs = untilMs),
            isCold: () => state.coldUntilMs > clock.nowMs(),
            tryTakeColdPermit: () => coldLimiterOf(state)?.tryTake(clock.nowMs()) ?? true,
            giveBackColdPermit: () => coldLimiterOf(state)?.giveBack(),
            backlog: createBacklog(() => prefillTokensPerMs(upstream.pool) * rate.prefillSpeed()),
            cache: createPrefixCache(localCacheTokens),
            health: createUpstreamHealth((forMs, failureShare) => {
                metrics.count("ejections");
                ejectedStates.add(state);
                log.state("upstream-ejected", { upstream: upstream.id, forMs, failureShare });
            }),
            running: () => state.localRunning,
            // Requests that have waited longer than the backlog model expects are still queued.
            queuedTokens: nowMs => Math.max(state.backlog.tokens(nowMs), state.localQueuedTokens),
            slowness: slowness.value,
            recordFirstByte: slowness.record,
            openLease: (job, newTokens, expectedMs, admission) =>
                createLease(state, job, newTokens, expectedMs, admission),
        };
        setColdUntil(state, coldUntilMsOf(upstream));
        return state;
    }

    function adoptLimit(state: MutableState, job: Job, limitPerS: number | undefined, nowMs: number): void {
        const previousPerS = state.limit.current(nowMs)?.limitPerS;
        const statedLimit = { limitPerS, atMs: nowMs };
        if (state.limit.adopt(statedLimit, nowMs)) {
            fleet.reportLimit({ upstreamHash: state.idHash, statedLimit });
            log.state("upstream-limit", {
                requestId: job.requestId,
                upstream: state.upstream.id,
                limitPerS,
                previousPerS,
            });
        }
    }

    function adoptStatements(state: MutableState, job: Job, stated: ResponseStatements): void {
        const nowMs = clock.nowMs();
        adoptLimit(state, job, stated.limitPerS, nowMs);
        stated.invalid.forEach(header =>
            log.failure("statement-invalid", { requestId: job.requestId, upstream: state.upstream.id, header })
        );
        state.statements.adopt(stated, nowMs).forEach(({ statement, untilMs }) => {
            metrics.count("statements", { statement });
            log.state("upstream-statement", {
                requestId: job.requestId,
                upstream: state.upstream.id,
                upstreamStartedWallMs: state.upstream.startedWallMs,
                statement,
                forMs: Number.isFinite(untilMs) ? Math.round(untilMs - nowMs) : undefined,
            });
        });
        if (state.statements.unavailability(nowMs)) {
            unavailableStates.add(state);
        }
        const coldUntilMs = state.statements.coldUntilMs();
        if (coldUntilMs !== undefined && coldUntilMs > state.coldUntilMs) {
            setColdUntil(state, coldUntilMs);
        }
    }

    /** Without the upstreams that have stated that they want no requests now. */
    function withoutUnavailable(list: readonly MutableState[]): readonly MutableState[] {
        const nowMs = clock.nowMs();
        unavailableStates.forEach(state =>
            state.statements.unavailability(nowMs) === undefined && unavailableStates.delete(state)
        );
        return unavailableStates.size === 0 ? list : list.filter(state => !unavailableStates.has(state));
    }

    function createLease(
        state: MutableState,
        job: Job,
        newTokens: number,
        expectedMs: number,
        admission: () => Admission,
    ): Lease {
        const openedMs = clock.nowMs();
        const leasedUpstream = state.upstream;
        let pendingTokens = newTokens;
        let open = true;
        let begunMs: number | undefined;
        let hasPaused = false;
        let isUnresponsive = false;
        state.localRunning++;
        state.localQueuedTokens += pendingTokens;
        state.backlog.add(newTokens, openedMs);
        state.health.recordDispatch(openedMs);
        if (state.health.isEjected(openedMs)) {
            ejectedStates.add(state);
        }
        if (job.prompt) {
            state.cache.touch(job.prompt.parts);
        }
        const report = (observed: ObservedAttempt): void => {
            const { ticket, tracker } = admission();
            const runs = takeRuns(state);
            fleet.reportAttempt(
                { upstreamHash: state.idHash, ticket, withdrawn: false, ...observed, ...runs },
                tracker,
            );
        };
        const recordBegun = (): void => {
            if (begunMs === undefined) {
                begunMs = clock.nowMs();
                options.onBegun(job, leasedUpstream);
            }
        };
        const markPrefilled = (): void => {
            state.localQueuedTokens -= pendingTokens;
            pendingTokens = 0;
        };
        return {
            upstream: leasedUpstream,
            expectedMs,
            mayWrite: () =>
                states.get(leasedUpstream.id) === state && isRoutable(state.upstream, options.catalog.read())
                && state.statements.unavailability(clock.nowMs()) === undefined,
            recordFirstByte() {
                markPrefilled();
                if (job.route.kind === "stream") {
                    recordBegun();
                }
                if (job.prompt) {
                    const tookMs = clock.nowMs() - openedMs;
                    state.recordFirstByte(tookMs, expectedMs, clock.nowMs());
                    if (admission().ticket % firstEventsPerReport === 0) {
                        const comparedMs = admission().isLate ? 0 : expectedMs;
                        report({ failed: false, unreachable: false, tookMs, expectedMs: comparedMs });
                    }
                }
            },
            recordUnresponsive() {
                if (open && !isUnresponsive) {
                    isUnresponsive = true;
                    state.health.record("silent", clock.nowMs());
                }
            },
            recordStatements(stated) {
                state.hasResponded = true;
                hasPaused = stated.pauseMs !== undefined;
                adoptStatements(state, job, stated);
            },
            end(reported: AttemptOutcome) {
                core.invariant(open, "a lease ends once");
                open = false;
                // An upstream that asks for a pause is not faulty.
                const outcome = hasPaused && reported === "failed" ? "shed" : reported;
                markPrefilled();
                if (outcome === "ok") {
                    recordRunTime(job, clock.nowMs() - openedMs);
                    recordRun(state, job, begunMs);
                }
                if (job.prompt && isFailure(outcome)) {
                    report({ failed: true, unreachable: outcome === "connect-failed", tookMs: 0, expectedMs: 0 });
                }
                if (outcome === "ok" || outcome === "failed") {
                    recordBegun();
                    options.onResponse(job, leasedUpstream);
                }
                if (outcome === "broken") {
                    const runMs = begunMs === undefined ? undefined : clock.nowMs() - begunMs;
                    options.onBroken({ job, upstream: leasedUpstream, runMs });
                }
                state.localRunning--;
                if (outcome === "connect-failed") {
                    state.unreachableMs = clock.nowMs();
                }
                // A failure that follows an unresponsive time is the same one.
                if (!isUnresponsive || !isFailure(outcome)) {
                    state.health.record(outcome, clock.nowMs());
                }
                metrics.count("attempts", { outcome });
            },
        };
    }

    /** Whether an upstream can go on with a stream. One that was unreachable may have started again with another version. */
    function mayContinue({ upstream, unreachableMs }: MutableState, origin: StreamOrigin): boolean {
        return hasOrigin(upstream, origin) && clock.nowMs() - unreachableMs > reregistrationMs;
    }

    // Cached per snapshot, since a pool has thousands of upstreams at the target fleet size.
    function routableUpstreams(pool: core.PoolId, snapshot: catalog.CatalogSnapshot): readonly MutableState[] {
        if (snapshot !== routableSnapshot) {
            routableSnapshot = snapshot;
            routableByPool.clear();
        }
        const known = routableByPool.get(pool);
        if (known) {
            return known;
        }
        const routable = (snapshot.upstreamsByPool.get(pool) ?? [])
            .filter(upstream => isRoutable(upstream, snapshot))
            .flatMap(upstream => states.get(upstream.id) ?? []);
        routableByPool.set(pool, routable);
        return routable;
    }

    function recordRunTime({ prompt, pool }: Job, tookMs: number): void {
        if (prompt) {
            const observed = tookMs / Math.max(1, prompt.maxOutputTokens);
            const previous = msPerToken.get(pool) ?? initialMsPerToken;
            msPerToken.set(pool, previous + msPerTokenWeight * (observed - previous));
        }
    }

    /** Records the time of a response after its first event, to be told to the engine's tracker with the next report. */
    function recordRun(state: MutableState, job: Job, begunMs: number | undefined): void {
        if (!job.prompt || begunMs === undefined) {
            return;
        }
        const runMs = clock.nowMs() - begunMs;
        const expectedRunMs = runTimes.record(job, runMs);
        if (expectedRunMs !== undefined) {
            state.unreportedRunMs += runMs;
            state.unreportedExpectedRunMs += expectedRunMs;
        }
    }

    function takeRuns(state: MutableState): Pick<AttemptReport, "runMs" | "expectedRunMs"> {
        const runs = { runMs: state.unreportedRunMs, expectedRunMs: state.unreportedExpectedRunMs };
        state.unreportedRunMs = 0;
        state.unreportedExpectedRunMs = 0;
        return runs;
    }

    /** Undefined if the upstream is warm or has no limit. */
    function coldLimiterOf(state: MutableState): TokenBucket | undefined {
        const nowMs = clock.nowMs();
        if (state.coldUntilMs <= nowMs || coldRatePerS(state.upstream.pool) === 0) {
            state.coldLimiter = undefined;
            return undefined;
        }
        const ownRatePerS = (): number =>
            coldRatePerS(state.upstream.pool) * coldRateShare
            / (fleet.vmCount() > 1 ? fleet.vmCount() : assumedVmCount);
        // The bucket has a capacity of one: with a larger one, several VMs could send their bursts in the same second. The VMs
        // learn of a cold upstream at the same time, so the random content spreads their first requests.
        state.coldLimiter ??= createTokenBucket(ownRatePerS, 1, nowMs, random());
        return state.coldLimiter;
    }

    return {
        stateOf: id => states.get(id),
        stateOfHash: idHash => byHash.get(idHash),
        usableUpstreams(pool, snapshot, avoided, origin) {
            const available = withoutUnavailable(routableUpstreams(pool, snapshot));
            const all = origin ? available.filter(state => mayContinue(state, origin)) : available;
            const routable = avoided.size === 0 ? all : all.filter(({ upstream }) => !avoided.has(upstream.id));
            const nowMs = clock.nowMs();
            if (nowMs >= lastColdUntilMs) {
                return { warm: routable, cold: [] };
            }
            return {
                warm: routable.filter(state => state.coldUntilMs <= nowMs),
                cold: routable.filter(state =>
                    state.coldUntilMs > nowMs && coldLimiterOf(state)?.hasToken(nowMs) !== false
                ),
            };
        },
        hasRoutable: (pool, snapshot, origin) =>
            routableUpstreams(pool, snapshot).some(({ upstream }) => hasOrigin(upstream, origin)),
        pauses(pool, snapshot) {
            const nowMs = clock.nowMs();
            return routableUpstreams(pool, snapshot).flatMap(({ upstream, statements }) => {
                const unavailability = statements.unavailability(nowMs);
                return unavailability?.reason === "paused"
                    ? [{ id: upstream.id, untilMs: unavailability.untilMs }]
                    : [];
            }).sort((left, right) => left.untilMs - right.untilMs);
        },
        withoutEjected(list) {
            const nowMs = clock.nowMs();
            ejectedStates.forEach(state => !state.health.isEjected(nowMs) && ejectedStates.delete(state));
            const healthy = ejectedStates.size === 0 ? list : list.filter(state => !ejectedStates.has(state));
            return healthy.length * 2 >= list.length ? healthy : list;
        },
        prefillTokensPerMs,
        learnedRates: pool =>
            [...states.values()].filter(({ upstream }) => upstream.pool === pool).map(({ rate }) => rate.current()),
        expectedRunMs: ({ pool, prompt }) =>
            (prompt?.maxOutputTokens ?? 0) * (msPerToken.get(pool) ?? initialMsPerToken),
        cacheTokens,
        coldRatePerS,
        dispose() {
            subscription.unsubscribe();
            [...removeGauges, ...removeSpeedGauges].forEach(remove => remove());
        },
    };
}

interface MutableState extends UpstreamState {
    upstream: catalog.KnownUpstream;
    readonly statements: UpstreamStatements;
    coldUntilMs: number;
    localRunning: number;
    localQueuedTokens: number;
    hasResponded: boolean;
    /** Measured and expected times in ms of responses after their first event, since the last report to the tracker. */
    unreportedRunMs: number;
    unreportedExpectedRunMs: number;
    /** Time in ms at which a connection to it last failed. */
    unreachableMs: number;
    postponedUntilMs: number;
    coldLimiter: TokenBucket | undefined;
    readonly backlog: Backlog;
    recordFirstByte(tookMs: number, expectedMs: number, nowMs: number): void;
}

function isSameRun(left: catalog.KnownUpstream, right: catalog.KnownUpstream): boolean {
    return left.startedWallMs === right.startedWallMs && left.softwareVersion === right.softwareVersion
        && left.host === right.host && left.port === right.port;
}

function hasOrigin({ softwareVersion }: catalog.Upstream, origin: StreamOrigin): boolean {
    return softwareVersion !== undefined && softwareVersion === origin.softwareVersion;
}

function isRoutable(upstream: catalog.Upstream, snapshot: catalog.CatalogSnapshot): boolean {
    return !upstream.leaving && !snapshot.evacuatedZones.has(upstream.zone);
}
