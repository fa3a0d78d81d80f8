/** A part of a prompt that is shared with other requests. */
export interface SharedPart {
    readonly hash: number;
    readonly tokens: number;
}

/** The limit that an upstream states in its responses. */
export interface StatedLimit {
    /** Requests per second that the upstream accepts from all VMs together; undefined if it states no limit any more. */
    readonly limitPerS: number | undefined;
    /** Time in ms of the response. */
    readonly atMs: number;
}

/** How fast a run of an upstream has been found to work. */
export interface LearnedRate {
    /** Hash of the start time of the run. */
    readonly runHash: number;
    /** Prompt tokens that it prefills per ms; undefined if not known. */
    readonly prefillTokensPerMs: number | undefined;
    /** Speed of its responses after the first event, relative to the mean of their routes; undefined if not known. */
    readonly generationSpeed: number | undefined;
    /** Logarithmic steps of both, relative to the other upstreams of the pool; 0 is as fast as they are. */
    readonly prefillStep: number;
    readonly generationStep: number;
    /** Time in ms of the statement. */
    readonly atMs: number;
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
    /** Share of the upstream's slots, above 0 and at most 1, that may be in use; with more, the request is not admitted. */
    readonly maxSlotShare: number;
    /** Expected run time of the request in ms. */
    readonly runMs: number;
    /**
     * Whether the prompt spills over, so that its upstream is not the primary engine of the session. The time to prefill
     * the shared parts that are not cached then counts as waiting.
     */
    readonly isSpillover: boolean;
    /** The most recent limit of the upstream that the sender knows; undefined if it knows none. */
    readonly statedLimit: StatedLimit | undefined;
    /** The most recent rate of the upstream that the sender was told; undefined if there is none. */
    readonly learnedRate: LearnedRate | undefined;
}

/** The queue of an engine, as its tracker stated it. */
export interface StatedQueue {
    readonly upstreamHash: number;
    /** Time in ms that a prompt waits there before its prefill begins. */
    readonly waitMs: number;
    /** Age of the statement in ms. */
    readonly ageMs: number;
}

/** The answer of an upstream's tracker. */
export interface TrackerAnswer {
    /** Whether the request is admitted. */
    readonly granted: boolean;
    /** Whether the upstream is ejected because of its failures. */
    readonly ejected: boolean;
    /** Whether the request is not admitted because of the limit that the upstream states. */
    readonly limited: boolean;
    /** The most recent limit of the upstream that the tracker knows; undefined if it knows none. */
    readonly statedLimit: StatedLimit | undefined;
    /** Prompt tokens queued for prefill at the upstream, without those of the question. */
    readonly unreadTokens: number;
    /** Tokens of the question's prompt that the upstream has not cached and must prefill. */
    readonly newTokens: number;
    /** Number of requests in flight at the upstream. */
    readonly running: number;
    /** Ratio of the recently observed time to first event to the expected one; 1 is as expected. */
    readonly slowness: number;
    /** The rate of the upstream; undefined if it is not known, or that of the question. */
    readonly learnedRate: LearnedRate | undefined;
    /** Number of the admission, repeated in the report; increases with each one at this upstream. 0 if not admitted. */
    readonly ticket: number;
    /** Queues of other engines, as far as the answering VM knows them. */
    readonly otherQueues: readonly StatedQueue[];
}

/** An answer as the asking VM receives it. */
export interface TrackerReply extends TrackerAnswer {
    /** IPv4 address of the VM that answered. */
    readonly tracker: string;
}

/** Reports the outcome of an attempt to the tracker of the upstream. */
export interface AttemptReport {
    readonly upstreamHash: number;
    /** The ticket of the answer; 0 if the receiver did not admit the attempt. */
    readonly ticket: number;
    /** Whether the attempt was not made after all: the answer that admitted it came too late. */
    readonly withdrawn: boolean;
    readonly failed: boolean;
    /** Whether it failed because no connection could be opened. */
    readonly unreachable: boolean;
    /** Measured time to the first byte in ms; 0 if the attempt failed. */
    readonly tookMs: number;
    /** Expected time in ms; 0 if the attempt failed, or was sent before the answer came, so that there is none to compare with. */
    readonly expectedMs: number;
    /** Measured and expected time in ms from the first event to the end, summed over the responses since the previous report. */
    readonly runMs: number;
    readonly expectedRunMs: number;
}

/** Reports to a tracker that a prompt that it admitted was not sent to the upstream, since its answer came too late. */
export function createWithdrawal(upstreamHash: number, ticket: number): AttemptReport {
    return {
        upstreamHash,
        ticket,
        withdrawn: true,
        failed: false,
        unreachable: false,
        tookMs: 0,
        expectedMs: 0,
        runMs: 0,
        expectedRunMs: 0,
    };
}

/** Reports a change of the limit that an upstream states to the tracker of the upstream. */
export interface LimitReport {
    readonly upstreamHash: number;
    readonly statedLimit: StatedLimit;
}

/** Handles questions and reports for the upstreams that this VM tracks. */
export interface Tracker {
    answer(question: TrackerQuestion): TrackerAnswer;
    recordReport(report: AttemptReport): void;
    recordLimit(report: LimitReport): void;
}
