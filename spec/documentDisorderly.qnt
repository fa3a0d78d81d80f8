// Known limitation of the rule that counts starting VMs: when VMs restart while others are starting or behind, a VM can
// hear more than half without hearing a VM that holds the accepted version.
module documentDisorderly {
    import documentProtocol(REQUIRED_ANSWERS = 3, COUNT_STARTING = true, ROUND_ANSWERS = 5, ORDERLY_RESTARTS = false).* from "./document"
}
