/** Settings of a stand-in engine. */
export interface EngineOptions {
    readonly port: number;
    /** Requests that run at the same time; the engine queues further ones. */
    readonly slots: number;
    /** Requests that the engine can run at the same time during cold start. */
    readonly coldSlots: number;
    /** Reaction to requests above `coldSlots` during cold start: a 503 response, or a crash of the process. */
    readonly coldOverload: "refuse" | "crash";
    /** Completed requests after which the engine is warm. */
    readonly coldRequests: number;
    /** Time in ms between two tokens of a request. */
    readonly tokenPaceMs: number;
    /** Tokens of a response if the request sets no limit. */
    readonly defaultTokens: number;
    /** Lag of the load report in ms. */
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

/** Faults that can be injected while the engine runs. */
export interface EngineFaults {
    /** A request whose body contains this text crashes the process. */
    crashMarker?: string | undefined;
    /** Responses end after this many tokens, in the way that `truncateBy` sets. */
    truncateAfter?: number | undefined;
    /** `close` closes the connection; `end` ends the HTTP response properly but omits the other tokens and `[DONE]`. */
    truncateBy?: "close" | "end";
    /** Responses stall after this many tokens with the connection open; 0 sends no byte at all. */
    silentAfter?: number | undefined;
}
