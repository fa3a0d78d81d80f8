export * from "./AcceptQueueMonitor.js";
export * from "./AcceptQueueProbe.js";
export { exitMarginMs } from "./Drain.js";
export * from "./Gateway.js";
export * from "./GatewayContext.js";
export * from "./GatewaySettings.js";
export * from "./OverloadGuard.js";
export * from "./UpstreamConnections.js";
export * from "./WireCodec.js";
