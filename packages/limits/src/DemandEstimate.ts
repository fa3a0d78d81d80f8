/** Recent demand of one customer at this VM, as exponentially decaying averages. */
export interface DemandEstimate {
    note(cost: number, nowMs: number): void;
    costPerMs(nowMs: number): number;
    requestsPerMs(nowMs: number): number;
    /** Whether no request has come for so long that the customer has probably moved to another VM. */
    isSilent(nowMs: number): boolean;
}

/** Mean gaps between requests after which silence is not chance: 0.7% of exponential gaps are longer than 5. */
const silentGaps = 5;

/** Shortest silence in ms that counts, so that a gap between two bursts of requests does not. */
const minSilenceMs = 100;

export function createDemandEstimate(timeConstantMs: number): DemandEstimate {
    let cost = 0;
    let requests = 0;
    let atMs = 0;
    let lastRequestMs = 0;
    let lastRequestsPerMs = 0;
    const decay = (nowMs: number): void => {
        const factor = Math.exp((atMs - nowMs) / timeConstantMs);
        cost *= factor;
        requests *= factor;
        atMs = nowMs;
    };
    return {
        note(requestCost, nowMs) {
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
        isSilent(nowMs) {
            const silentMs = nowMs - lastRequestMs;
            return silentMs > minSilenceMs && silentMs * lastRequestsPerMs > silentGaps;
        },
    };
}
