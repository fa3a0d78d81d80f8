export * from "./FakePlatform.js";
export * from "./SeededRandom.js";
export * from "./VirtualClock.js";
export * from "./VirtualNetwork.js";
