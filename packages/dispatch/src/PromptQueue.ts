/**
 * Prompts queued for prefill at an engine, as known to its tracker. Engines prefill in order of arrival, so the first
 * event of one prompt confirms the prefill of all prompts before it. Unconfirmed prompts count as queued, so that an
 * engine that is slower than stated, or has stalled, does not look idle.
 */
export interface PromptQueue {
    /** Returns the ticket with which the prompt is confirmed or removed. */
    add(tokens: number, nowMs: number): number;
    /** Whether a ticket was returned by this queue. */
    hasIssued(ticket: number): boolean;
    /** Records the first event of this prompt. */
    confirm(ticket: number, nowMs: number): void;
    /** Removes a prompt that will not be prefilled. */
    remove(ticket: number): void;
    /** Tokens queued for prefill. */
    queuedTokens(nowMs: number): number;
}

interface QueuedPrompt {
    readonly ticket: number;
    readonly tokens: number;
    readonly addedMs: number;
}

/** Time in ms after which an unconfirmed prompt is evicted: its report was lost, or its sender stopped. */
const entryLifetimeMs = 3_000;

/**
 * @param prefillTokensPerMs expected prefill rate.
 * @param confirmationDelayMs time in ms from the end of a prompt's prefill to the report of its first event.
 */
export function createPromptQueue(prefillTokensPerMs: () => number, confirmationDelayMs: number): PromptQueue {
    let queued: QueuedPrompt[] = [];
    let totalTokens = 0;
    let lastTicket = 0;
    let confirmedMs = Number.NEGATIVE_INFINITY;

    function retain(shouldRetain: (entry: QueuedPrompt) => boolean): void {
        queued = queued.filter(shouldRetain);
        totalTokens = queued.reduce((sum, { tokens }) => sum + tokens, 0);
    }

    return {
        add(tokens, nowMs) {
            lastTicket++;
            queued.push({ ticket: lastTicket, tokens, addedMs: nowMs });
            totalTokens += tokens;
            return lastTicket;
        },
        hasIssued: ticket => ticket > 0 && ticket <= lastTicket,
        confirm(ticket, nowMs) {
            confirmedMs = nowMs;
            retain(entry => entry.ticket > ticket);
        },
        remove: ticket => retain(entry => entry.ticket !== ticket),
        queuedTokens(nowMs) {
            const [oldest] = queued;
            if (oldest && nowMs - oldest.addedMs >= entryLifetimeMs) {
                retain(({ addedMs }) => nowMs - addedMs < entryLifetimeMs);
            }
            const [first] = queued;
            if (!first) {
                return 0;
            }
            // Prefill of the first prompt began when it arrived, or when the prompt before it was finished. At most this
            // prompt, and what is prefilled until its confirmation arrives, can be finished.
            const prefillStartMs = Math.max(first.addedMs, confirmedMs - confirmationDelayMs);
            const prefilledTokens = Math.min(
                (nowMs - prefillStartMs) * prefillTokensPerMs(),
                first.tokens + confirmationDelayMs * prefillTokensPerMs(),
            );
            return Math.max(0, totalTokens - prefilledTokens);
        },
    };
}
