// Known limitation of the rule that counts starting VMs: if VMs restart while others are starting or hold an older
// version, a VM can get replies of more than half of the VMs, none of which holds the accepted version.
module documentDisorderly {
    import documentProtocol(REQUIRED_REPLIES = 3, COUNT_STARTING = true, ROUND_REPLIES = 5, ROLLING_RESTARTS = false).* from "./document"
}
