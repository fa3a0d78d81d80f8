export * from "./RateLimiter.js";
