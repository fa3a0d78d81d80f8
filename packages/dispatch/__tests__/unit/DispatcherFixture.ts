import * as catalog from "@peridotloft/catalog";
import * as core from "@peridotloft/core";
import type * as fleets from "@peridotloft/fleet";
import * as testing from "@peridotloft/testing";
import { standaloneView } from "../../src/FleetView.js";
import * as dispatch from "../../src/index.js";
import * as fixtures from "./EngineFixtures.js";

export const route = { ...fixtures.route, maxAttempts: 2, resumable: true };

const lateByMs = 10;

interface AcquireOptions {
    readonly customer?: string;
    readonly ownTokens?: number;
    readonly isRetry?: boolean;
    readonly origin?: dispatch.StreamOrigin;
}

/** One dispatcher whose VM tracks all engines itself. */
export async function createFixture({ engines = 4, slots = 128 } = {}) {
    const clock = testing.createVirtualClock();
    let tracker: fleets.Tracker | undefined;
    let areTrackersUnresponsive = false;
    let areAnswersLate = false;
    const dispatcher = dispatch.createDispatcher({
        clock,
        random: testing.createSeededRandom(3),
        catalog: core.createSnapshotCell(
            catalog.applyChanges(catalog.emptySnapshot, fixtures.fleetChanges(engines, slots), 0),
        ),
        fleet: {
            ...standaloneView,
            askTracker(question, onLateAnswer) {
                const reply = areTrackersUnresponsive || !tracker
                    ? undefined
                    : { ...tracker.answer(question), tracker: "10.0.0.1" };
                if (areAnswersLate && reply) {
                    clock.setTimer(lateByMs, () => onLateAnswer?.(reply));
                    return Promise.resolve(undefined);
                }
                return Promise.resolve(reply);
            },
            reportAttempt: report => tracker?.recordReport(report),
            reportLimit: report => tracker?.recordLimit(report),
            registerTracker(added) {
                tracker = added;
                return () => undefined;
            },
        },
        log: testing.createRecordingLog(),
        metrics: testing.createNoopMetrics(),
    });
    // Past the grace time after the start, in which trackers assume that shared parts are cached.
    await clock.advance(20_000);
    let number = 0;
    return {
        clock,
        /** Asks about an engine as another VM does. */
        askAsOtherVm: (question: fleets.TrackerQuestion) => tracker?.answer(question),
        setAnswersLate: (value: boolean): void => void (areAnswersLate = value),
        setTrackersUnresponsive: (value: boolean): void => void (areTrackersUnresponsive = value),
        /** @returns the lease, or undefined if the prompt is refused. */
        async acquire(session: string, more: AcquireOptions = {}) {
            number++;
            const { customer = "small", ownTokens = 500, isRetry = false, origin } = more;
            const arrivedMs = clock.nowMs();
            const result = await dispatcher.acquire(
                {
                    requestId: core.requestId(`r${number}`),
                    route,
                    pool: fixtures.pool,
                    customer: core.customerId(customer),
                    priority: 1,
                    prompt: {
                        model: "m",
                        inputTokens: 6_000 + ownTokens,
                        maxOutputTokens: 50,
                        parts: [{ id: session, tokens: 6_000 }, { id: `own-${number}`, tokens: ownTokens }],
                    },
                    arrivedMs,
                    deadlineMs: () => arrivedMs + 5_000,
                    fingerprint: () => number,
                },
                new Set(),
                isRetry,
                origin,
            );
            return result.isOk() ? result.value : undefined;
        },
    };
}
