export * from "./createScheduler.js";
export * from "./Scheduler.js";
export { defaultPolicy, type SchedulingPolicy } from "./SchedulingPolicy.js";
