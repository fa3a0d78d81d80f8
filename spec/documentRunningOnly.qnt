// The stricter rule, which counts only answers of running VMs, holds for restarts at any time. Its cost is that no VM
// gets ready while more than half of the VMs are starting.
module documentRunningOnly {
    import documentProtocol(REQUIRED_ANSWERS = 3, COUNT_STARTING = false, ROUND_ANSWERS = 6, ORDERLY_RESTARTS = false).* from "./document"
}
