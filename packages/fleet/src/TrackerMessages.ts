/** A part of a prompt that is shared with other requests. */
export interface SharedPart {
    readonly hash: number;
    readonly tokens: number;
}

/** Asks the VM that tracks an upstream's load to admit a request there. Ids are 32-bit hashes. */
export interface TrackerQuestion {
    readonly upstreamHash: number;
    /** Parts of the prompt that are shared with other requests, in order. */
    readonly sharedParts: readonly SharedPart[];
    /** Tokens of the prompt that are not shared. */
    readonly ownTokens: number;
    /** Longest acceptable wait at the upstream in ms; the request is not admitted if a longer one is expected. */
    readonly longestWaitMs: number;
    /** Expected run time of the request in ms. */
    readonly runMs: number;
    /**
     * Whether the upstream is not the first choice of the session by rendezvous hashing. The time to process the shared
     * parts of the prompt then counts as waiting.
     */
    readonly isSpillover: boolean;
}

/** The answer of an upstream's tracker. */
export interface TrackerAnswer {
    /** Whether the request is admitted. */
    readonly granted: boolean;
    /** Whether the upstream is ejected because of its failures. */
    readonly ejected: boolean;
    /** Prompt tokens that the upstream has yet to process, without those of the question. */
    readonly unreadTokens: number;
    /** Tokens of the question's prompt that are not in the upstream's cache. */
    readonly newTokens: number;
    /** Number of requests that are running there. */
    readonly running: number;
    /** Recent ratio of the measured to the expected time to the first event. */
    readonly slowness: number;
    /** Number of the admission, repeated in the report; increases with each one at this upstream. 0 if not admitted. */
    readonly ticket: number;
}

/** Reports the outcome of an attempt to the tracker of the upstream. */
export interface AttemptReport {
    readonly upstreamHash: number;
    /** The ticket of the answer; 0 if the tracker did not answer. */
    readonly ticket: number;
    readonly failed: boolean;
    /** Whether it failed because no connection could be opened. */
    readonly unreachable: boolean;
    /** Measured and expected time to the first byte in ms; 0 if the attempt failed. */
    readonly tookMs: number;
    readonly expectedMs: number;
}

/** Handles questions and reports for the upstreams that this VM tracks. */
export interface Tracker {
    answer(question: TrackerQuestion): TrackerAnswer;
    recordReport(report: AttemptReport): void;
}
