/** Settings of a stand-in engine. */
export interface EngineOptions {
    readonly port: number;
    /** Requests that run in one batch; more wait within the engine. */
    readonly slots: number;
    /** Requests that the engine can carry in cold start. */
    readonly coldSlots: number;
    /** What happens above `coldSlots` in cold start: 503, or the process dies. */
    readonly coldOverload: "refuse" | "crash";
    /** Requests completed in cold start after which the engine is warm. */
    readonly coldRequests: number;
    /** Time in ms from one token of a request to its next. */
    readonly tokenPaceMs: number;
    /** Tokens of an answer when the request sets no limit. */
    readonly defaultTokens: number;
    /** Time in ms by which the load report is behind. */
    readonly loadLagMs: number;
    readonly startsCold: boolean;
}

export const defaultEngineOptions: EngineOptions = {
    port: 0,
    slots: 8,
    coldSlots: 1,
    coldOverload: "refuse",
    coldRequests: 4,
    tokenPaceMs: 20,
    defaultTokens: 16,
    loadLagMs: 500,
    startsCold: true,
};

/** Faults that can be switched on while the engine runs. */
export interface EngineFaults {
    /** Requests whose body contains this text kill the process. */
    crashMarker?: string | undefined;
    /** Answers end after this many tokens: `truncateBy` says how. */
    truncateAfter?: number | undefined;
    /** `close` breaks the connection; `end` ends the HTTP answer properly but leaves out the rest and `[DONE]`. */
    truncateBy?: "close" | "end";
    /** Answers fall silent after this many tokens; 0 sends no byte at all. */
    silentAfter?: number | undefined;
}
