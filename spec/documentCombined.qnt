// The rule that a starting VM applies before its waiting time has passed, with restarts at any time: it needs
// replies of more than half of the VMs, counting running ones only, or of all VMs in one round.
module documentCombined {
    import documentProtocol(REQUIRED_REPLIES = 3, COUNT_STARTING = false, ROUND_REPLIES = 5, ROLLING_RESTARTS = false).* from "./document"
}
