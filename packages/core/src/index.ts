export * from "./Clock.js";
export * from "./Gossip.js";
export * from "./Ids.js";
export * from "./Invariant.js";
export * from "./Peer.js";
export * from "./Random.js";
export * from "./SnapshotCell.js";
export * from "./Verdict.js";
