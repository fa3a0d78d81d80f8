export * from "./Ownership.js";
