import * as core from "@peridotloft/core";
import type { PlatformClient, PublishedText } from "./PlatformClient.js";
import * as constants from "./PlatformConstants.js";

/**
 * How a VM reads from the configuration service.
 *
 * - `watcher`: watches (long polling) and reads each version as soon as it is published.
 * - `standby`: its watch skips the next version, which gossip is expected to deliver; after each watch it reads once to
 *   verify this. Only a few VMs read each version in full, and if the watchers fail, a version is delayed by the time of one watch.
 * - `reader`: polls at long intervals.
 */
export type PlatformRole = "watcher" | "standby" | "reader";

export interface PlatformReaderOptions {
    readonly clock: core.Clock;
    readonly random: core.Random;
    readonly client: PlatformClient;
    /** Highest version that this VM already has; 0 for none. */
    readonly knownVersion: () => number;
    readonly determineRole: () => PlatformRole;
    /** Handles a document that was read. Returns false if it was invalid or not new, so that the reader backs off. */
    readonly onDocument: (published: PublishedText) => boolean;
    /** Called after each call with whether it succeeded. */
    readonly onCallCompleted: (succeeded: boolean) => void;
}

/** Reads or watches the document until the returned function is called; backs off with jitter after failures. */
export function startPlatformReader(options: PlatformReaderOptions): () => void {
    const { clock, random, client } = options;
    let stopped = false;
    let failures = 0;
    let mustVerify = false;
    let nextReadMs = clock.nowMs();
    let cancel: () => void;

    const schedule = (delayMs: number): void => {
        if (!stopped) {
            cancel = clock.setTimer(delayMs, () => void runOnce());
        }
    };
    const backoffMs = (): number => {
        const meanMs = Math.min(constants.maxBackoffMs, constants.firstBackoffMs * 2 ** (failures - 1));
        return meanMs * (0.5 + random());
    };
    const read = async (after: number, waitMs: number): Promise<boolean> => {
        const response = await client.readDocument(after, waitMs);
        if (stopped) {
            return false;
        }
        options.onCallCompleted(response.isOk());
        return response.match(published => published === undefined || options.onDocument(published), () => false);
    };
    const callAs = (role: PlatformRole): Promise<boolean> => {
        const skipsNextVersion = role === "standby" && !mustVerify && failures === 0;
        mustVerify = skipsNextVersion;
        return role === "watcher" || skipsNextVersion
            ? read(options.knownVersion() + (skipsNextVersion ? 1 : 0), constants.watchWaitMs)
            : read(options.knownVersion(), 0);
    };
    const runOnce = async (): Promise<void> => {
        const role = options.determineRole();
        if (role === "reader" && clock.nowMs() < nextReadMs) {
            schedule(constants.roleCheckIntervalMs);
            return;
        }
        const succeeded = await callAs(role);
        failures = succeeded ? 0 : failures + 1;
        nextReadMs = clock.nowMs() + (succeeded ? constants.readPeriodMs * (0.8 + 0.4 * random()) : 0);
        schedule(succeeded ? constants.minCallIntervalMs : backoffMs());
    };

    cancel = clock.setTimer(0, () => void runOnce());
    return () => {
        stopped = true;
        cancel();
    };
}
