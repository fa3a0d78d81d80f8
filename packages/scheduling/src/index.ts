export * from "./Scheduler.js";
