export * from "./Membership.js";
