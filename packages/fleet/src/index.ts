export type { CustomerCost } from "./Announcement.js";
export type { CrashEvidenceHandler, CrashMark, QuarantineMark, ResponseMark } from "./CrashEvidence.js";
export * from "./DatagramSocket.js";
export * from "./FleetNode.js";
export * from "./RelaySelector.js";
export type {
    StreamOriginAnswer,
    StreamOriginHolder,
    StreamOriginQuestion,
    StreamOriginRecord,
} from "./StreamOriginMessages.js";
export {
    type AttemptReport,
    createWithdrawal,
    type LearnedRate,
    type LimitReport,
    type SharedPart,
    type StatedLimit,
    type StatedQueue,
    type Tracker,
    type TrackerAnswer,
    type TrackerQuestion,
    type TrackerReply,
} from "./TrackerMessages.js";
export type { UsageSource } from "./UsageExchange.js";
export { type UsageAmount, usageTimeConstantMs } from "./UsageMessages.js";
