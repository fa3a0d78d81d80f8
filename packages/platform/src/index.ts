export * from "./DocumentFeed.js";
