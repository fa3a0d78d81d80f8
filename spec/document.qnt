// The version in force never reverts (docs/design.md, section 4.5), while the platform serves stale versions.
//
// A VM that starts asks the others and decides when enough of them were heard. "Accepted" is the highest version that was
// in force on more than half of the VMs at one moment. A version that no VM holds any more is forgotten: no rule of
// asking can find it. A round that hears every VM is one step: no VM restarts and gets ready within a round.
module documentProtocol {
    /// Number of VMs, of 5, that must have been heard before a starting VM decides.
    const REQUIRED_ANSWERS: int
    /// Whether starting VMs count, with version 0, and the VM itself does.
    const COUNT_STARTING: bool
    /// Number of VMs, starting ones and the VM itself included, that suffice when heard in one round; 6 for never.
    const ROUND_ANSWERS: int
    /// Whether VMs start one at a time, and only after the accepted version has reached all running VMs.
    const ORDERLY_RESTARTS: bool

    pure val VMS = 1.to(5)
    pure val MAJORITY = 3
    pure val MAX_VERSION = 3

    type Answer = { peer: int, version: int }
    type State = {
        published: int,
        // Version in force; 0 while the VM is starting.
        versions: int -> int,
        answers: int -> Set[Answer],
        accepted: int,
        // Version that was accepted when the VM last started.
        acceptedAtStart: int -> int,
        // Highest accepted version that no VM held at some moment.
        forgotten: int,
    }

    var s: State

    pure def holders(st: State, version: int): Set[int] =
        VMS.filter(vm => st.versions.get(vm) >= version)

    pure def withAccepted(st: State): State = {
        val majorities = 1.to(MAX_VERSION).filter(v => holders(st, v).size() >= MAJORITY)
        { ...st, accepted: majorities.fold(st.accepted, (best, v) => if (v > best) v else best) }
    }

    pure def adopted(st: State, vm: int, version: int): State =
        if (version > st.versions.get(vm)) withAccepted({ ...st, versions: st.versions.set(vm, version) }) else st

    pure def withForgotten(st: State): State =
        if (holders(st, st.accepted) == Set()) { ...st, forgotten: st.accepted } else st

    pure def isStarting(st: State, vm: int): bool = st.versions.get(vm) == 0

    pure def mayRestart(st: State, vm: int): bool =
        not(ORDERLY_RESTARTS) or holders(st, st.accepted) == VMS

    action init = s' = {
        published: 1,
        versions: VMS.mapBy(_ => 1),
        answers: VMS.mapBy(_ => Set()),
        accepted: 1,
        acceptedAtStart: VMS.mapBy(_ => 1),
        forgotten: 0,
    }

    action publish = all { s.published < MAX_VERSION, s' = { ...s, published: s.published + 1 } }

    /// The platform may be stale: it answers with any version that it ever published.
    action read(vm: int): bool = {
        nondet version = 1.to(s.published).oneOf()
        all { not(isStarting(s, vm)), s' = adopted(s, vm, version) }
    }

    action fetch(vm: int, peer: int): bool = all {
        not(isStarting(s, vm)),
        s' = adopted(s, vm, s.versions.get(peer)),
    }

    action restart(vm: int): bool = all {
        not(isStarting(s, vm)),
        mayRestart(s, vm),
        s' = withForgotten({
            ...s,
            versions: s.versions.set(vm, 0),
            answers: s.answers.set(vm, if (COUNT_STARTING) Set({ peer: vm, version: 0 }) else Set()),
            acceptedAtStart: s.acceptedAtStart.set(vm, s.accepted),
        }),
    }

    action ask(vm: int, peer: int): bool = {
        val older = s.answers.get(vm).filter(a => a.peer != peer)
        val answer = { peer: peer, version: s.versions.get(peer) }
        all {
            isStarting(s, vm) and vm != peer,
            COUNT_STARTING or not(isStarting(s, peer)),
            s' = { ...s, answers: s.answers.set(vm, older.union(Set(answer))) },
        }
    }

    action decide(vm: int): bool = {
        val answers = s.answers.get(vm)
        nondet platformVersion = 1.to(s.published).oneOf()
        val version = answers.fold(platformVersion, (best, a) => if (a.version > best) a.version else best)
        all {
            isStarting(s, vm),
            answers.size() >= REQUIRED_ANSWERS,
            s' = adopted(s, vm, version),
        }
    }

    action decideByRound(vm: int): bool = {
        nondet missed = 0.to(5).oneOf()
        nondet platformVersion = 1.to(s.published).oneOf()
        val heard = VMS.exclude(Set(missed))
        val version = heard.fold(platformVersion, (best, p) => if (s.versions.get(p) > best) s.versions.get(p) else best)
        all {
            isStarting(s, vm) and heard.contains(vm),
            heard.size() >= ROUND_ANSWERS,
            s' = adopted(s, vm, version),
        }
    }

    action step = {
        nondet vm = VMS.oneOf()
        nondet peer = VMS.oneOf()
        any { publish, read(vm), fetch(vm, peer), restart(vm), ask(vm, peer), ask(vm, peer), decide(vm), decideByRound(vm) }
    }

    val neverReverts = VMS.forall(vm => or {
        isStarting(s, vm),
        s.versions.get(vm) >= s.acceptedAtStart.get(vm),
        s.forgotten >= s.acceptedAtStart.get(vm),
    })
}

module document {
    import documentProtocol(REQUIRED_ANSWERS = 3, COUNT_STARTING = true, ROUND_ANSWERS = 5, ORDERLY_RESTARTS = true).*
}
