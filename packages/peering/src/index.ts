export * from "./PeerCounters.js";
export * from "./PeeringConstants.js";
export * from "./PeerNode.js";
