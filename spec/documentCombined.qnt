// The rule of a starting VM before its waiting time has passed: more than half of the VMs, all running, or all VMs in one
// round, with restarts at any time.
module documentCombined {
    import documentProtocol(REQUIRED_ANSWERS = 3, COUNT_STARTING = false, ROUND_ANSWERS = 5, ORDERLY_RESTARTS = false).* from "./document"
}
