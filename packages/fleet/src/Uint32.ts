const maxUint32 = 0xffffffff;

/**
 * Rounds and bounds a number to one that a message can carry; 0 if it is not a number. Encoding any other would throw, and
 * numbers of callers and upstreams can have any size.
 */
export function toUint32(value: number): number {
    return Number.isNaN(value) ? 0 : Math.min(maxUint32, Math.max(0, Math.round(value)));
}
