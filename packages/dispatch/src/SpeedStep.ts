/** Ratio of the speeds of two neighbouring steps. */
const stepRatio = 1.25;
/** Ratios to the typical speed at which step 0 is left and taken again: engines differ a little without being of another speed. */
const leaveRatio = 1.35;
const returnRatio = 1.16;
/** Share of a step by which a speed must differ from that of the current step for the step to change. */
const hysteresis = 0.85;
const maxStep = 6;

/** Speed of a step relative to the typical speed of a pool. */
export function speedOfStep(step: number): number {
    return stepRatio ** step;
}

/**
 * The step of an engine whose speed is `ratio` times the typical one of its pool. Steps have hysteresis, so that
 * sessions, which are placed by them, rarely move.
 */
export function nextSpeedStep(current: number, ratio: number): number {
    const deviation = Math.abs(Math.log(ratio));
    if (deviation < Math.log(current === 0 ? leaveRatio : returnRatio)) {
        return 0;
    }
    const exact = Math.log(ratio) / Math.log(stepRatio);
    const nearest = Math.round(exact) || Math.sign(exact);
    return Math.abs(exact - current) < hysteresis && current !== 0
        ? current
        : Math.min(maxStep, Math.max(-maxStep, nearest));
}
