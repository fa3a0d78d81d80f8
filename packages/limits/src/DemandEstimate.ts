/** Recent demand of one customer at this VM: exponentially decaying averages. */
export interface DemandEstimate {
    record(cost: number, nowMs: number): void;
    costPerMs(nowMs: number): number;
    requestsPerMs(nowMs: number): number;
    /** Whether no request has arrived for so long that the customer's traffic has probably moved to another VM. */
    isIdle(nowMs: number): boolean;
}

/** Idle time, in mean gaps between requests, from which a customer counts as idle: 0.7% of exponential gaps exceed 5. */
const minIdleGaps = 5;

/** Shortest idle time in ms that counts, so that a gap between two bursts of requests does not. */
const minIdleMs = 100;

export function createDemandEstimate(timeConstantMs: number): DemandEstimate {
    let cost = 0;
    let requests = 0;
    let decayedAtMs = 0;
    let lastRequestMs = 0;
    let lastRequestsPerMs = 0;
    const decay = (nowMs: number): void => {
        const factor = Math.exp((decayedAtMs - nowMs) / timeConstantMs);
        cost *= factor;
        requests *= factor;
        decayedAtMs = nowMs;
    };
    return {
        record(requestCost, nowMs) {
            decay(nowMs);
            cost += requestCost / timeConstantMs;
            requests += 1 / timeConstantMs;
            lastRequestMs = nowMs;
            lastRequestsPerMs = requests;
        },
        costPerMs(nowMs) {
            decay(nowMs);
            return cost;
        },
        requestsPerMs(nowMs) {
            decay(nowMs);
            return requests;
        },
        isIdle(nowMs) {
            const idleMs = nowMs - lastRequestMs;
            return idleMs > minIdleMs && idleMs * lastRequestsPerMs > minIdleGaps;
        },
    };
}
