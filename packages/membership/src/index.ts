export * from "./Membership.js";
export * from "./MembershipConstants.js";
export * from "./MembershipNode.js";
