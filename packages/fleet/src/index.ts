export type { CrashMark, CustomerCost } from "./Announcement.js";
export * from "./DatagramSocket.js";
export * from "./FleetNode.js";
export * from "./RelaySelector.js";
export type { AttemptReport, SharedPart, Tracker, TrackerAnswer, TrackerQuestion } from "./TrackerMessages.js";
