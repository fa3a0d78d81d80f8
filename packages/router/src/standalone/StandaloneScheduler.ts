import type * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import type * as platform from "@peridotloft/platform";
import type * as scheduling from "@peridotloft/scheduling";
import { err, ok, type Result } from "neverthrow";

type Acquired = Result<scheduling.SlotLease, scheduling.QueueRefusal>;

interface Waiter {
    readonly request: scheduling.SlotRequest;
    resolve(result: Acquired): void;
}

interface Load {
    usableSlots: number;
    inFlight: number;
}

const quarantineAfter = 2;

/** First come, first served, with the slots of this VM alone; stands in for `scheduling`. */
export function createStandaloneScheduler(
    inForce: core.SnapshotCell<platform.DocumentInForce | undefined>,
    clock: core.Clock,
): scheduling.Scheduler {
    let waiters: Waiter[] = [];
    const loads = new Map<core.UpstreamId, Load>();
    const crashes = new Map<string, Set<core.UpstreamId>>();

    function loadOf(upstream: documents.Upstream): Load {
        const load = loads.get(upstream.id) ?? { usableSlots: upstream.coldSlots, inFlight: 0 };
        loads.set(upstream.id, load);
        return load;
    }

    function candidates(request: scheduling.SlotRequest): documents.Upstream[] {
        const document = inForce.read()?.document;
        const pool = document && documents.findPool(document, request.pool);
        return (pool?.upstreams ?? []).filter(upstream =>
            document && documents.effectiveUpstreamState(document, upstream) === "in-service"
            && !request.exclude.includes(upstream.id)
        );
    }

    function tryLease(request: scheduling.SlotRequest): scheduling.SlotLease | undefined {
        const free = candidates(request)
            .filter(upstream => loadOf(upstream).inFlight < loadOf(upstream).usableSlots)
            .sort((left, right) => loadOf(left).inFlight - loadOf(right).inFlight)[0];
        return free && createLease(free, request.deadlineMs);
    }

    function createLease(upstream: documents.Upstream, deadlineMs: number): scheduling.SlotLease {
        const load = loadOf(upstream);
        load.inFlight++;
        return {
            upstream,
            deadlineMs,
            noteFirstByte: () => undefined,
            release(outcome) {
                load.inFlight--;
                load.usableSlots = outcome === "completed"
                    ? Math.min(upstream.slots, load.usableSlots * 2)
                    : outcome === "cancelled"
                    ? load.usableSlots
                    : upstream.coldSlots;
                serveWaiters();
            },
        };
    }

    function serveWaiters(): void {
        waiters = waiters.filter(waiter => {
            const lease = tryLease(waiter.request);
            if (lease) {
                waiter.resolve(ok(lease));
            }
            return !lease;
        });
    }

    const refuse = (kind: scheduling.QueueRefusal["kind"]): Acquired => err({ kind, retryAfterMs: 1_000 });

    return {
        acquire(request, signal) {
            if (signal.aborted) {
                return Promise.resolve(refuse("cancelled"));
            }
            if (candidates(request).length === 0) {
                return Promise.resolve(refuse("no-upstream"));
            }
            const lease = tryLease(request);
            if (lease) {
                return Promise.resolve(ok(lease));
            }
            return new Promise(resolve => {
                const leave = (kind: scheduling.QueueRefusal["kind"]): void => {
                    waiters = waiters.filter(candidate => candidate !== waiter);
                    finish(refuse(kind));
                };
                const onAbort = (): void => leave("cancelled");
                const cancelTimer = clock.setTimer(request.deadlineMs - clock.nowMs(), () => leave("deadline"));
                const finish = (result: Acquired): void => {
                    cancelTimer();
                    signal.removeEventListener("abort", onAbort);
                    resolve(result);
                };
                const waiter: Waiter = { request, resolve: finish };
                signal.addEventListener("abort", onAbort);
                waiters.push(waiter);
            });
        },
        mayRetry: () => true,
        isQuarantined: fingerprint => (crashes.get(fingerprint)?.size ?? 0) >= quarantineAfter,
        noteCrash(fingerprint, upstream) {
            crashes.set(fingerprint, (crashes.get(fingerprint) ?? new Set()).add(upstream));
        },
        status: () => ({
            upstreams: (inForce.read()?.document.pools ?? []).flatMap(pool =>
                pool.upstreams.map(upstream => {
                    const { usableSlots, inFlight } = loadOf(upstream);
                    const phase = usableSlots >= upstream.slots
                        ? "warm"
                        : usableSlots > upstream.coldSlots
                        ? "ramping"
                        : "cold";
                    return {
                        upstream: upstream.id,
                        pool: pool.id,
                        phase,
                        usableSlots,
                        ownedSlots: upstream.slots,
                        ownedSlotsInUse: inFlight,
                        inFlight,
                    } as const;
                })
            ),
            queues: [],
            quarantined: [...crashes].filter(([, upstreams]) => upstreams.size >= quarantineAfter).map(([hash]) =>
                hash
            ),
        }),
        dispose: () => undefined,
    };
}
