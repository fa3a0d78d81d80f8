import type * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import type * as feeds from "@peridotloft/document-feed";
import type * as scheduling from "@peridotloft/scheduling";
import type { Logger } from "./Logging.js";
import * as constants from "./RouterConstants.js";

/** One change of the configuration, of a zone, VM or upstream, or of the quarantine. */
export interface AuditEntry {
    /** Wall-clock time in ms since 1970. */
    readonly wallMs: number;
    /** Version of the active document after the change; 0 before the first. */
    readonly version: number;
    /** What changed, such as `customers north-depot burstCost` or `upstream e1 phase`. */
    readonly subject: string;
    readonly before: unknown;
    readonly after: unknown;
    readonly cause: string;
}

/** Logs each change as one line and keeps the last 1,000 for the admin port. */
export interface AuditTrail {
    /** Records the differences between two documents, or only the version if there is no previous one. */
    recordDocument(before: documents.FleetDocument | undefined, after: documents.FleetDocument): void;
    recordRejectedDocument(rejected: feeds.RejectedDocument): void;
    /** Records the changes of upstream phases and of the quarantine since the previous call. */
    recordSchedulerStatus(status: scheduling.SchedulerStatus): void;
    /** Oldest first. */
    entries(): readonly AuditEntry[];
}

export function createAuditTrail(clock: core.Clock, logger: Pick<Logger, "info">): AuditTrail {
    const entries: AuditEntry[] = [];
    let version = 0;
    let phases = new Map<string, string>();
    let quarantined: ReadonlySet<string> = new Set();
    let lastRejectedWallMs = -1;

    function addEntry(subject: string, before: unknown, after: unknown, cause: string): void {
        const entry = { wallMs: clock.wallMs(), version, subject, before, after, cause };
        entries.push(entry);
        entries.splice(0, entries.length - constants.maxAuditEntries);
        logger.info("audit", entry);
    }

    function recordChange(change: documents.DocumentChange, cause: string): void {
        if (change.kind !== "changed") {
            const [before, after] = change.kind === "added" ? [undefined, "present"] : ["present", undefined];
            addEntry(`${change.section} ${change.id}`, before, after, cause);
            return;
        }
        change.fields.forEach(({ field, before, after }) =>
            addEntry(`${change.section} ${change.id} ${field}`, before, after, cause)
        );
    }

    return {
        recordDocument(before, after) {
            version = after.version;
            const cause = `document version ${after.version}`;
            addEntry("document version", before?.version, after.version, before ? cause : "start");
            if (before) {
                documents.diffDocuments(before, after).forEach(change => recordChange(change, cause));
            }
        },
        recordRejectedDocument({ source, errors, wallMs }) {
            if (wallMs === lastRejectedWallMs) {
                return;
            }
            lastRejectedWallMs = wallMs;
            const faults = errors.map(({ path, message }) => `${path}: ${message}`).join("; ");
            addEntry("document version", version, version, `rejected a document from ${source}: ${faults}`);
        },
        recordSchedulerStatus(status) {
            const now = new Map<string, string>(status.upstreams.map(({ upstream, phase }) => [upstream, phase]));
            now.forEach((phase, upstream) => {
                if (phases.has(upstream) && phases.get(upstream) !== phase) {
                    addEntry(`upstream ${upstream} phase`, phases.get(upstream), phase, "answers of the upstream");
                }
            });
            phases = now;
            const nowQuarantined = new Set(status.quarantined);
            status.quarantined
                .filter(fingerprint => !quarantined.has(fingerprint))
                .forEach(fingerprint =>
                    addEntry(`quarantine ${fingerprint}`, undefined, "refused", "crashed upstreams")
                );
            [...quarantined]
                .filter(fingerprint => !nowQuarantined.has(fingerprint))
                .forEach(fingerprint => addEntry(`quarantine ${fingerprint}`, "refused", undefined, "expired"));
            quarantined = nowQuarantined;
        },
        entries: () => [...entries],
    };
}
