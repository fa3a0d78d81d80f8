export * from "./Logging.js";
export * from "./Metrics.js";
export * from "./Router.js";
export * from "./RouterDaemon.js";
export * from "./Settings.js";
