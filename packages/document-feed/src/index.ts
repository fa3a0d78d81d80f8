export * from "./DocumentFeed.js";
export * from "./DocumentFeedNode.js";
export { createHttpGet, type HttpAnswer, type HttpGet } from "./HttpGet.js";
export { createPatchHistory, type PatchHistory, type PatchStep } from "./PatchHistory.js";
export * from "./PlatformConstants.js";
