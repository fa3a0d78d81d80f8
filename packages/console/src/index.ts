export * from "./ConsoleServer.js";
export * from "./DocumentActions.js";
export * from "./DraftReview.js";
export { fetchDocument } from "./PlatformDocument.js";
