// At-most-once execution of one idempotency key (docs/design.md, section 4.4), and the truth of `not-run`.
//
// Document version 1 names "old" as the owner of the key, version 2 the joining VM "new". Messages are delivered at any
// time after they were sent, also repeatedly or never. A VM acts on its own document, restarts without state, and may
// write to the upstream at any time after it admitted the operation, as a paused process does.
module operationsProtocol {
    /// Time that an owner's memory must reach back before it admits an unknown key.
    const REQUIRED_MEMORY: int

    /// Time after the first request in which a caller may send the key again.
    pure val WINDOW = 2
    /// Largest time from the arrival of an attempt to its admission.
    pure val MAX_AGE = 1
    pure val VMS = Set("old", "new")

    /// `entered` is the arrival of the attempt; owners know a lower bound of it from the stamp.
    type Message = { to: str, entered: int }
    /// `state` is none, running, wrote, ended or refused; `at` is the time of admission, end or last refusal.
    type Entry = { state: str, at: int, entered: int }
    type State = {
        now: int,
        firstSent: int,
        messages: Set[Message],
        entries: str -> Entry,
        since: str -> int,
        fullAt: str -> int,
        oldAdopted: bool,
        newAdopted: bool,
        heard: bool,
        runs: int,
        lastNotRun: int,
        untrueNotRun: bool,
    }

    pure val unknown: Entry = { state: "none", at: -10, entered: -10 }

    var s: State

    pure def holds(st: State, vm: str): bool =
        if (vm == "old") not(st.oldAdopted) else st.newAdopted and st.heard

    pure def setEntry(st: State, vm: str, entry: Entry): State =
        { ...st, entries: st.entries.set(vm, entry) }

    pure def sayNotRun(st: State): State =
        { ...st, lastNotRun: st.now, untrueNotRun: st.untrueNotRun or st.runs > 0 }

    /// Whether the owner may admit the attempt: as new, or again after a refusal.
    pure def admits(st: State, m: Message): bool = {
        val entry = st.entries.get(m.to)
        and {
            holds(st, m.to),
            m.entered > st.fullAt.get(m.to),
            or {
                entry.state == "refused" and m.entered > entry.at,
                and {
                    entry.state == "none",
                    st.now - st.since.get(m.to) > REQUIRED_MEMORY,
                    st.now - m.entered <= MAX_AGE,
                },
            },
        }
    }

    pure def delivered(st: State, m: Message): State = {
        val entry = st.entries.get(m.to)
        if (admits(st, m))
            setEntry(st, m.to, { state: "running", at: st.now, entered: m.entered })
        else if (holds(st, m.to) and entry.state == "refused" and m.entered <= entry.at)
            sayNotRun(setEntry(st, m.to, { ...entry, at: st.now }))
        else
            st // Joins the earlier run, or is refused with may-have-run.
    }

    pure def written(st: State, vm: str): State = {
        val entry = st.entries.get(vm)
        val after = setEntry(st, vm, { ...entry, state: "wrote" })
        { ...after, runs: st.runs + 1, untrueNotRun: st.untrueNotRun or entry.entered <= st.lastNotRun }
    }

    /// The attempt ends without a write. The owner says so only while no other owner can have admitted the key.
    pure def failed(st: State, vm: str): State = {
        val entry = st.entries.get(vm)
        val certain = st.now < entry.at + WINDOW or (holds(st, vm) and st.since.get(vm) <= entry.at)
        if (certain)
            sayNotRun(setEntry(st, vm, { ...entry, state: "refused", at: st.now }))
        else
            setEntry(st, vm, { ...entry, state: "ended", at: st.now })
    }

    pure def isExpired(st: State, entry: Entry): bool = or {
        entry.state == "ended" and st.now > entry.at + WINDOW + MAX_AGE,
        entry.state == "refused" and st.now > entry.at + MAX_AGE,
    }

    pure def restarted(st: State, vm: str): State = {
        ...setEntry(st, vm, unknown),
        since: st.since.set(vm, st.now),
        fullAt: st.fullAt.set(vm, -10),
        heard: if (vm == "new") false else st.heard,
    }

    action init = s' = {
        now: 0,
        firstSent: -1,
        messages: Set(),
        entries: VMS.mapBy(_ => unknown),
        since: VMS.mapBy(_ => -10),
        fullAt: VMS.mapBy(_ => -10),
        oldAdopted: false,
        newAdopted: false,
        heard: false,
        runs: 0,
        lastNotRun: -1,
        untrueNotRun: false,
    }

    action tick = s' = { ...s, now: s.now + 1 }

    action send(vm: str): bool = all {
        s.firstSent < 0 or s.now - s.firstSent <= WINDOW,
        s' = {
            ...s,
            firstSent: if (s.firstSent < 0) s.now else s.firstSent,
            messages: s.messages.union(Set({ to: vm, entered: s.now })),
        },
    }

    action refuseAsFull(m: Message): bool = all {
        admits(s, m),
        s' = sayNotRun({ ...s, fullAt: s.fullAt.set(m.to, s.now) }),
    }

    action write(vm: str): bool = all { s.entries.get(vm).state == "running", s' = written(s, vm) }

    action giveUp(vm: str): bool = all { s.entries.get(vm).state == "running", s' = failed(s, vm) }

    action end(vm: str): bool = all {
        s.entries.get(vm).state == "wrote",
        s' = setEntry(s, vm, { ...s.entries.get(vm), state: "ended", at: s.now }),
    }

    action forget(vm: str): bool = all { isExpired(s, s.entries.get(vm)), s' = setEntry(s, vm, unknown) }

    action restart(vm: str): bool = s' = restarted(s, vm)

    action adoptOld = s' = { ...s, oldAdopted: true }

    action adoptNew = all {
        not(s.newAdopted),
        s' = { ...s, newAdopted: true, since: s.since.set("new", s.now) },
    }

    action hear = all {
        s.oldAdopted and not(s.heard),
        s' = { ...s, heard: true, since: s.since.set("new", s.now) },
    }

    action step = {
        nondet vm = VMS.oneOf()
        any {
            tick,
            tick,
            send(vm),
            { nondet m = s.messages.oneOf() s' = delivered(s, m) },
            { nondet m = s.messages.oneOf() s' = delivered(s, m) },
            { nondet m = s.messages.oneOf() refuseAsFull(m) },
            write(vm),
            giveUp(vm),
            end(vm),
            forget(vm),
            restart(vm),
            any { adoptOld, adoptNew, hear },
        }
    }

    val atMostOnce = s.runs <= 1
    val truthful = not(s.untrueNotRun)
    val safe = atMostOnce and truthful
}

module operations {
    import operationsProtocol(REQUIRED_MEMORY = 3).*
}
