export * from "./createRateLimiter.js";
export type { LoanTiming } from "./OwnerLink.js";
export * from "./RateLimiter.js";
export * from "./TokenBucket.js";
