import type * as catalog from "@peridotloft/catalog";
import type * as core from "@peridotloft/core";
import type * as telemetry from "@peridotloft/telemetry";
import { err, ok, type Result } from "neverthrow";
import type { FleetView } from "./FleetView.js";
import type { DispatchRefusal, Job, Lease } from "./Job.js";
import { type Candidate, type Choice, chooseEngine, chooseService, type EngineSpeed } from "./Placement.js";
import { rankByRendezvous } from "./Rendezvous.js";
import { createRetryBudget, type RetryBudget } from "./RetryBudget.js";
import { createUpstreamTable, type UpstreamState } from "./UpstreamTable.js";

export interface DispatcherOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly catalog: core.SnapshotCell<catalog.CatalogSnapshot>;
    readonly fleet: FleetView;
    readonly log: telemetry.EventLog;
    readonly metrics: telemetry.Metrics;
}

/** Gives requests places at upstreams. */
export interface Dispatcher {
    /**
     * Returns a place at an upstream, or a refusal that is true: the request has not run.
     *
     * @param tried upstreams that the request was sent to before; not empty for a retry.
     */
    acquire(job: Job, tried: ReadonlySet<core.UpstreamId>): Result<Lease, DispatchRefusal>;
    dispose(): void;
}

/** Ratio of the reading speed of an engine to its part of the throughput that the configuration states. */
const readSpeedRatio = 1.7;
/** Reading speed in tokens/ms where the configuration states no throughput. */
const defaultReadTokensPerMs = 50;
/** Retry-After in ms while no upstream is known: registrations return within about 2 s. */
const noUpstreamRetryMs = 500;
/** Retry-After in ms when all upstreams are full or cold. */
const overloadRetryMs = 400;

export function createDispatcher(options: DispatcherOptions): Dispatcher {
    const { clock, random, fleet, log } = options;
    const table = createUpstreamTable(options);
    const budgets = new Map<core.PoolId, RetryBudget>();

    function budgetOf(pool: core.PoolId): RetryBudget {
        const budget = budgets.get(pool) ?? createRetryBudget();
        budgets.set(pool, budget);
        return budget;
    }

    function speedOf(snapshot: catalog.CatalogSnapshot, pool: core.PoolId): EngineSpeed {
        const tokensPerS = snapshot.inForce?.config.limits.tokensPerS;
        const count = table.largestPoolSize(pool);
        return {
            readTokensPerMs: tokensPerS === undefined || count === 0
                ? defaultReadTokensPerMs
                : (tokensPerS / 1_000 / count) * readSpeedRatio,
        };
    }

    function choose(job: Job, usable: readonly UpstreamState[], snapshot: catalog.CatalogSnapshot) {
        const candidates = candidatesOf(job, usable);
        return job.prompt
            ? chooseEngine(candidates, speedOf(snapshot, job.pool))
            : chooseService(candidates, random);
    }

    function candidatesOf(job: Job, usable: readonly UpstreamState[]): Candidate[] {
        const { prompt } = job;
        const ranked = prompt ? rankByRendezvous(sessionOf(job), usable, state => state.upstream.id) : usable;
        return ranked.map((state, homeRank) => {
            const peers = fleet.loadOf(state.upstream.id);
            return {
                id: state.upstream.id,
                running: state.running + peers.running,
                slots: state.upstream.slots,
                unreadTokens: state.unreadTokens + peers.unreadTokens,
                newTokens: prompt ? newTokensOf(job, state) : 0,
                failureShare: state.health.failureShare(),
                homeRank,
            };
        });
    }

    function place(job: Job, { candidate, expectedMs }: Choice, snapshot: catalog.CatalogSnapshot): Lease {
        const state = table.stateOf(candidate.id);
        log.decision("placed", {
            requestId: job.requestId,
            upstream: candidate.id,
            homeRank: candidate.homeRank,
            newTokens: candidate.newTokens,
            unreadTokens: Math.round(candidate.unreadTokens),
            running: candidate.running,
            expectedMs: Math.round(expectedMs),
            version: snapshot.inForce?.config.version,
        });
        return state.occupy(job, candidate.newTokens);
    }

    return {
        acquire(job, tried) {
            const snapshot = options.catalog.read();
            const budget = budgetOf(job.pool);
            if (tried.size === 0) {
                budget.earn();
            }
            const all = table.usableOf(job.pool, snapshot, tried);
            if (all.length === 0) {
                return err({ reason: "no-upstream", retryAfterMs: noUpstreamRetryMs });
            }
            const choice = choose(job, preferred(all, clock.nowMs()), snapshot);
            if (!choice) {
                return err({ reason: "overloaded", retryAfterMs: overloadRetryMs });
            }
            if (tried.size > 0 && !budget.trySpend()) {
                return err({ reason: "retry-budget", retryAfterMs: overloadRetryMs });
            }
            return ok(place(job, choice, snapshot));
        },
        dispose: () => table.dispose(),
    };
}

/** The part of a prompt by which requests of one session find the same engine: the last shared one. */
export function sessionOf({ prompt, requestId }: Job): string {
    return prompt?.parts.at(-2)?.id ?? prompt?.parts.at(-1)?.id ?? requestId;
}

function newTokensOf({ prompt }: Job, state: UpstreamState): number {
    return prompt ? Math.max(0, prompt.inputTokens - state.cache.keptTokens(prompt.parts)) : 0;
}

/** Half of a pool at most is out because of its answers: more failing at once is no fault of single upstreams. */
function preferred(states: readonly UpstreamState[], nowMs: number): readonly UpstreamState[] {
    const sound = states.filter(state => !state.health.isOut(nowMs));
    return sound.length * 2 >= states.length ? sound : states;
}
