export * from "./EventLog.js";
export * from "./MemoryReport.js";
export * from "./Metrics.js";
export * from "./UncaughtErrors.js";
