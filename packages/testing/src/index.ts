export * from "./FakeEngine.js";
export * from "./FakeGossip.js";
export * from "./FakePlatform.js";
export * from "./RateTrace.js";
export * from "./RecordingTelemetry.js";
export * from "./SeededRandom.js";
export * from "./VirtualClock.js";
export * from "./VirtualNetwork.js";
