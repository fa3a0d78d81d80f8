export * from "./EventLog.js";
export * from "./Metrics.js";
export * from "./UncaughtErrors.js";
