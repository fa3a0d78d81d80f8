export * from "./createOwnership.js";
export * from "./Ownership.js";
