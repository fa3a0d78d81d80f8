export * from "./EventLog.js";
export * from "./Metrics.js";
