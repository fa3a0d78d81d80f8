import * as core from "@peridotloft/core";
import type { PlatformClient, PublishedText } from "./PlatformClient.js";
import * as constants from "./PlatformConstants.js";

/**
 * How a VM follows the configuration service.
 *
 * - `watcher`: holds a watch and reads each version as soon as it is published.
 * - `standby`: holds a watch that leaves out the next version, which gossip should bring, and checks after each watch
 *   whether it did. So each version is read whole by few VMs, and an outage of these costs one watch.
 * - `reader`: reads from time to time.
 */
export type PlatformRole = "watcher" | "standby" | "reader";

export interface PlatformReaderOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly client: PlatformClient;
    /** Version that need not be read again; 0 for none. */
    readonly knownVersion: () => number;
    readonly roleOf: () => PlatformRole;
    /** Takes a document; false when it was invalid or old, so that it is not read again at once. */
    readonly onText: (published: PublishedText) => boolean;
    /** Called after each call with whether the configuration service answered. */
    readonly onAnswer: (answered: boolean) => void;
}

/** Reads or watches the document until stopped; backs off with jitter after failures. Returns a stop function. */
export function startPlatformReader(options: PlatformReaderOptions): () => void {
    const { clock, random, client } = options;
    let stopped = false;
    let failures = 0;
    let checkIsDue = false;
    let nextReadMs = clock.nowMs();
    let cancel: () => void;

    const schedule = (delayMs: number): void => {
        if (!stopped) {
            cancel = clock.setTimer(delayMs, () => void step());
        }
    };
    const backoffMs = (): number => {
        const meanMs = Math.min(constants.maxBackoffMs, constants.firstBackoffMs * 2 ** (failures - 1));
        return meanMs * (0.5 + random());
    };
    const read = async (after: number, waitMs: number): Promise<boolean> => {
        const answer = await client.readDocument(after, waitMs);
        if (stopped) {
            return false;
        }
        options.onAnswer(answer.isOk());
        return answer.match(published => published === undefined || options.onText(published), () => false);
    };
    const call = (role: PlatformRole): Promise<boolean> => {
        const leavesOutNext = role === "standby" && !checkIsDue && failures === 0;
        checkIsDue = leavesOutNext;
        return role === "watcher" || leavesOutNext
            ? read(options.knownVersion() + (leavesOutNext ? 1 : 0), constants.watchWaitMs)
            : read(options.knownVersion(), 0);
    };
    const step = async (): Promise<void> => {
        const role = options.roleOf();
        if (role === "reader" && clock.nowMs() < nextReadMs) {
            schedule(constants.roleCheckMs);
            return;
        }
        const succeeded = await call(role);
        failures = succeeded ? 0 : failures + 1;
        nextReadMs = clock.nowMs() + (succeeded ? constants.readPeriodMs * (0.8 + 0.4 * random()) : 0);
        schedule(succeeded ? constants.minCallGapMs : backoffMs());
    };

    cancel = clock.setTimer(0, () => void step());
    return () => {
        stopped = true;
        cancel();
    };
}
