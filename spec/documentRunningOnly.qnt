// The stricter rule, which counts only replies of running VMs, holds with restarts at any time. Its cost: no VM gets
// ready while fewer than 3 of the 5 VMs are running.
module documentRunningOnly {
    import documentProtocol(REQUIRED_REPLIES = 3, COUNT_STARTING = false, ROUND_REPLIES = 6, ROLLING_RESTARTS = false).* from "./document"
}
