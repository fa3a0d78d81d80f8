import type * as core from "@peridotloft/core";
import * as documents from "@peridotloft/document";
import type * as feeds from "@peridotloft/document-feed";
import type * as scheduling from "@peridotloft/scheduling";
import type { Logger } from "./Logging.js";
import * as constants from "./RouterConstants.js";

/** One change of configuration, key set, zone, VM or upstream state, or one quarantine. */
export interface AuditEntry {
    /** Wall-clock time in ms since 1970. */
    readonly wallMs: number;
    /** Version of the document in force after the change; 0 before the first. */
    readonly version: number;
    /** What changed, such as `customers north-depot burstCost` or `upstream e1 phase`. */
    readonly subject: string;
    readonly before: unknown;
    readonly after: unknown;
    readonly cause: string;
}

/** Records changes, each as one log line; the last 1,000 can be read. */
export interface AuditTrail {
    /** Records the differences between two documents; without `before`, only that a first one is in force. */
    noteDocument(before: documents.FleetDocument | undefined, after: documents.FleetDocument): void;
    noteRejected(rejected: feeds.RejectedDocument): void;
    /** Compares the scheduler's state with the last one noted. */
    noteScheduler(status: scheduling.SchedulerStatus): void;
    /** The oldest first. */
    entries(): readonly AuditEntry[];
}

export function createAuditTrail(clock: core.Clock, logger: Pick<Logger, "info">): AuditTrail {
    const entries: AuditEntry[] = [];
    let version = 0;
    let phases = new Map<string, string>();
    let quarantined: ReadonlySet<string> = new Set();
    let lastRejectedMs = -1;

    function add(subject: string, before: unknown, after: unknown, cause: string): void {
        const entry = { wallMs: clock.wallMs(), version, subject, before, after, cause };
        entries.push(entry);
        entries.splice(0, entries.length - constants.maxAuditEntries);
        logger.info("audit", entry);
    }

    function noteChange(change: documents.DocumentChange, cause: string): void {
        if (change.kind !== "changed") {
            const [before, after] = change.kind === "added" ? [undefined, "present"] : ["present", undefined];
            add(`${change.section} ${change.id}`, before, after, cause);
            return;
        }
        change.fields.forEach(({ field, before, after }) =>
            add(`${change.section} ${change.id} ${field}`, before, after, cause)
        );
    }

    return {
        noteDocument(before, after) {
            version = after.version;
            const cause = `document version ${after.version}`;
            add("document version", before?.version, after.version, before ? cause : "start");
            if (before) {
                documents.diffDocuments(before, after).forEach(change => noteChange(change, cause));
            }
        },
        noteRejected({ source, errors, wallMs }) {
            if (wallMs === lastRejectedMs) {
                return;
            }
            lastRejectedMs = wallMs;
            const faults = errors.map(({ path, message }) => `${path}: ${message}`).join("; ");
            add("document version", version, version, `rejected a document from ${source}: ${faults}`);
        },
        noteScheduler(status) {
            const now = new Map<string, string>(status.upstreams.map(({ upstream, phase }) => [upstream, phase]));
            now.forEach((phase, upstream) => {
                if (phases.has(upstream) && phases.get(upstream) !== phase) {
                    add(`upstream ${upstream} phase`, phases.get(upstream), phase, "answers of the upstream");
                }
            });
            phases = now;
            const nowQuarantined = new Set(status.quarantined);
            status.quarantined
                .filter(fingerprint => !quarantined.has(fingerprint))
                .forEach(fingerprint => add(`quarantine ${fingerprint}`, undefined, "refused", "crashed upstreams"));
            [...quarantined]
                .filter(fingerprint => !nowQuarantined.has(fingerprint))
                .forEach(fingerprint => add(`quarantine ${fingerprint}`, "refused", undefined, "expired"));
            quarantined = nowQuarantined;
        },
        entries: () => [...entries],
    };
}
