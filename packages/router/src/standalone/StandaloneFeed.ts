import * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import type * as platform from "@peridotloft/platform";

const pollPeriodMs = 200;

/** Polls the platform's document; stands in for `platform`. */
export function createStandaloneFeed(urls: readonly string[], clock: core.Clock): platform.DocumentFeed {
    const inForce = core.createSnapshotCell<platform.DocumentInForce | undefined>(undefined);
    let rejected: platform.RejectedDocument | undefined;
    let stop: () => void = () => undefined;

    function adopt(text: string, source: string): void {
        documents.parseDocument(text).match(
            document =>
                void inForce.update(current =>
                    current && current.document.version >= document.version
                        ? current
                        : { document, text, digest: documents.digestOf(text) }
                ),
            errors => {
                rejected = { source, errors, wallMs: clock.wallMs() };
            },
        );
    }

    async function poll(): Promise<void> {
        const url = urls[0] ?? "";
        try {
            const response = await fetch(`${url}/v1/document`, { signal: AbortSignal.timeout(1_000) });
            if (response.ok) {
                adopt(await response.text(), url);
            }
        }
        catch {
            // The document in force stays.
        }
    }

    return {
        inForce,
        isReady: () => inForce.read() !== undefined,
        lastRejected: () => rejected,
        start() {
            void poll();
            stop = core.setRepeatingTimer(clock, pollPeriodMs, () => void poll());
        },
        dispose: () => stop(),
    };
}
