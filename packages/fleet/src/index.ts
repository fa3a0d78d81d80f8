export type { CrashMark, Placement } from "./Announcement.js";
export * from "./DatagramSocket.js";
export * from "./FleetNode.js";
export * from "./RelayChoice.js";
