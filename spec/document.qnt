// The active version never reverts (docs/design.md, section 4.5), while the platform serves stale versions.
//
// A starting VM queries its peers and chooses a version when enough of them have replied. The accepted version is the
// highest one that was active on more than half of the VMs at the same time. A version that no VM holds any more is
// lost: no query can find it. A round of queries to all VMs is one step: no VM restarts and gets ready within a round.
module documentProtocol {
    /// Number of VMs, out of 5, whose replies a starting VM needs before it chooses a version.
    const REQUIRED_REPLIES: int
    /// Whether replies of starting VMs count, with version 0. The starting VM then counts itself too.
    const COUNT_STARTING: bool
    /// Number of VMs, including starting ones and the VM itself, whose replies in one round suffice; 6 disables rounds.
    const ROUND_REPLIES: int
    /// Whether VMs restart one at a time, and only after the accepted version has reached all VMs.
    const ROLLING_RESTARTS: bool

    pure val VMS = 1.to(5)
    pure val MAJORITY = 3
    pure val MAX_VERSION = 3

    type Reply = { peer: int, version: int }
    type State = {
        published: int,
        // Active version; 0 while the VM is starting.
        versions: int -> int,
        replies: int -> Set[Reply],
        accepted: int,
        // Accepted version at the time of the VM's last start.
        acceptedAtStart: int -> int,
        // Last accepted version that no VM held after a restart.
        lostVersion: int,
    }

    var s: State

    pure def holders(st: State, version: int): Set[int] =
        VMS.filter(vm => st.versions.get(vm) >= version)

    pure def withAccepted(st: State): State = {
        val majorities = 1.to(MAX_VERSION).filter(v => holders(st, v).size() >= MAJORITY)
        { ...st, accepted: majorities.fold(st.accepted, (best, v) => if (v > best) v else best) }
    }

    pure def afterAdoption(st: State, vm: int, version: int): State =
        if (version > st.versions.get(vm)) withAccepted({ ...st, versions: st.versions.set(vm, version) }) else st

    pure def withLostVersion(st: State): State =
        if (holders(st, st.accepted) == Set()) { ...st, lostVersion: st.accepted } else st

    pure def isStarting(st: State, vm: int): bool = st.versions.get(vm) == 0

    pure def mayRestart(st: State, vm: int): bool =
        not(ROLLING_RESTARTS) or holders(st, st.accepted) == VMS

    action init = s' = {
        published: 1,
        versions: VMS.mapBy(_ => 1),
        replies: VMS.mapBy(_ => Set()),
        accepted: 1,
        acceptedAtStart: VMS.mapBy(_ => 1),
        lostVersion: 0,
    }

    action publish = all { s.published < MAX_VERSION, s' = { ...s, published: s.published + 1 } }

    /// The platform may be stale: it returns any version that it has published.
    action pollPlatform(vm: int): bool = {
        nondet version = 1.to(s.published).oneOf()
        all { not(isStarting(s, vm)), s' = afterAdoption(s, vm, version) }
    }

    action fetchFromPeer(vm: int, peer: int): bool = all {
        not(isStarting(s, vm)),
        s' = afterAdoption(s, vm, s.versions.get(peer)),
    }

    action restart(vm: int): bool = all {
        not(isStarting(s, vm)),
        mayRestart(s, vm),
        s' = withLostVersion({
            ...s,
            versions: s.versions.set(vm, 0),
            replies: s.replies.set(vm, if (COUNT_STARTING) Set({ peer: vm, version: 0 }) else Set()),
            acceptedAtStart: s.acceptedAtStart.set(vm, s.accepted),
        }),
    }

    action queryPeer(vm: int, peer: int): bool = {
        val otherReplies = s.replies.get(vm).filter(a => a.peer != peer)
        val reply = { peer: peer, version: s.versions.get(peer) }
        all {
            isStarting(s, vm) and vm != peer,
            COUNT_STARTING or not(isStarting(s, peer)),
            s' = { ...s, replies: s.replies.set(vm, otherReplies.union(Set(reply))) },
        }
    }

    action decideByReplies(vm: int): bool = {
        val replies = s.replies.get(vm)
        nondet platformVersion = 1.to(s.published).oneOf()
        val version = replies.fold(platformVersion, (best, a) => if (a.version > best) a.version else best)
        all {
            isStarting(s, vm),
            replies.size() >= REQUIRED_REPLIES,
            s' = afterAdoption(s, vm, version),
        }
    }

    action decideByRound(vm: int): bool = {
        nondet unreachable = 0.to(5).oneOf()
        nondet platformVersion = 1.to(s.published).oneOf()
        val respondents = VMS.exclude(Set(unreachable))
        val version =
            respondents.fold(platformVersion, (best, p) => if (s.versions.get(p) > best) s.versions.get(p) else best)
        all {
            isStarting(s, vm) and respondents.contains(vm),
            respondents.size() >= ROUND_REPLIES,
            s' = afterAdoption(s, vm, version),
        }
    }

    action step = {
        nondet vm = VMS.oneOf()
        nondet peer = VMS.oneOf()
        any {
            publish,
            pollPlatform(vm),
            fetchFromPeer(vm, peer),
            restart(vm),
            queryPeer(vm, peer),
            queryPeer(vm, peer),
            decideByReplies(vm),
            decideByRound(vm),
        }
    }

    val neverReverts = VMS.forall(vm => or {
        isStarting(s, vm),
        s.versions.get(vm) >= s.acceptedAtStart.get(vm),
        s.lostVersion >= s.acceptedAtStart.get(vm),
    })
}

module document {
    import documentProtocol(REQUIRED_REPLIES = 3, COUNT_STARTING = true, ROUND_REPLIES = 5, ROLLING_RESTARTS = true).*
}
