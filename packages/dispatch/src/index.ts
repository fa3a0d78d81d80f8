export * from "./Dispatcher.js";
export * from "./FleetView.js";
export * from "./Job.js";
export type { StreamOrigin } from "./OriginHistory.js";
export * from "./StreamOrigins.js";
export { noStatements, type ResponseStatements } from "./UpstreamStatements.js";
