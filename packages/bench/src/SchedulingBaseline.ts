import type * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import type * as scheduling from "@peridotloft/scheduling";
import { err, ok, type Result } from "neverthrow";

export type RequestScheduler = Pick<scheduling.Scheduler, "acquire" | "tryTakeRetry" | "dispose">;

interface Waiter {
    readonly request: scheduling.SlotRequest;
    readonly resolve: (result: Result<scheduling.SlotLease, scheduling.QueueRefusal>) => void;
}

const maxQueued = 1_000;

/** Uncoordinated baseline: each VM dispatches in FIFO order to the upstream with the fewest requests of its own. */
export function createBaselineScheduler(
    clock: core.Clock,
    document: core.SnapshotCell<documents.FleetDocument>,
): RequestScheduler {
    const inFlight = new Map<core.UpstreamId, number>();
    const inFlightOf = (id: core.UpstreamId): number => inFlight.get(id) ?? 0;
    let queue: Waiter[] = [];
    let requests = 0;
    let retries = 0;

    const findLeastLoaded = (): documents.Upstream | undefined =>
        document.read().pools.flatMap(pool => pool.upstreams)
            .filter(upstream => documents.effectiveUpstreamState(document.read(), upstream) === "in-service")
            .filter(upstream => inFlightOf(upstream.id) < upstream.slots)
            .sort((left, right) => inFlightOf(left.id) - inFlightOf(right.id))[0];

    const createLease = (upstream: documents.Upstream, deadlineMs: number): scheduling.SlotLease => {
        inFlight.set(upstream.id, inFlightOf(upstream.id) + 1);
        return {
            upstream,
            deadlineMs,
            recordFirstByte: () => undefined,
            release() {
                inFlight.set(upstream.id, inFlightOf(upstream.id) - 1);
                dispatch();
            },
        };
    };

    const dispatch = (): void => {
        for (let upstream = findLeastLoaded(); upstream && queue.length > 0; upstream = findLeastLoaded()) {
            const waiter = queue.shift();
            if (waiter && waiter.request.deadlineMs <= clock.nowMs()) {
                waiter.resolve(err({ kind: "deadline", retryAfterMs: 0 }));
            }
            else {
                waiter?.resolve(ok(createLease(upstream, waiter.request.deadlineMs)));
            }
        }
    };

    return {
        acquire: request =>
            new Promise(resolve => {
                requests++;
                if (queue.length >= maxQueued) {
                    resolve(err({ kind: "queue-full", retryAfterMs: 0 }));
                    return;
                }
                queue.push({ request, resolve });
                dispatch();
            }),
        tryTakeRetry() {
            const isAllowed = retries < requests * 0.1;
            retries += isAllowed ? 1 : 0;
            return isAllowed;
        },
        dispose() {
            queue = [];
        },
    };
}
