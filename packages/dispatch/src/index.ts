export * from "./Dispatcher.js";
export * from "./FleetView.js";
export * from "./Job.js";
export { noStatements, type ResponseStatements } from "./UpstreamStatements.js";
