export * from "./DocumentFeed.js";
export * from "./DocumentFeedNode.js";
export { createHttpGet, type HttpGet, type HttpResponse } from "./HttpGet.js";
export { createPatchHistory, type DocumentPatch, type PatchHistory } from "./PatchHistory.js";
export * from "./PlatformConstants.js";
