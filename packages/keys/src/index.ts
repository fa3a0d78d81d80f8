export * from "./KeyIndex.js";
