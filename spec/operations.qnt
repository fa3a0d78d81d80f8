// At-most-once execution for one idempotency key (docs/design.md, section 4.4), and correctness of `not-run` verdicts.
//
// Document version 1 names "old" as the owner of the key, version 2 the joining VM "new". A message is delivered at
// any time after it was sent, repeatedly or never. A VM acts on its own document, restarts without state, and may write
// to the upstream at any time after it admitted the operation, as a paused process does when it resumes late.
module operationsProtocol {
    /// Time for which an owner must have recorded operations before it admits an unknown key.
    const REQUIRED_HISTORY: int

    /// Time after the first request during which a caller may send the key again.
    pure val IDEMPOTENCY_WINDOW = 2
    /// Maximum time from the arrival of an attempt to its admission.
    pure val MAX_ATTEMPT_AGE = 1
    pure val VMS = Set("old", "new")

    /// `arrivedAt` is the time at which the attempt arrived; owners know a lower bound of it from the stamp.
    type Message = { to: str, arrivedAt: int }
    /// `state` is none, running, wrote, ended or refused; `changedAt` is the time of admission, end or last refusal.
    type Entry = { state: str, changedAt: int, arrivedAt: int }
    type State = {
        now: int,
        firstSent: int,
        messages: Set[Message],
        entries: str -> Entry,
        // Time since which the VM has recorded all operations of the key.
        historySince: str -> int,
        // Time at which the VM last refused an attempt because its store was full.
        lastFullAt: str -> int,
        oldAdopted: bool,
        newAdopted: bool,
        // Whether "new" has confirmation that "old" has adopted version 2 and admits no more attempts.
        handoverConfirmed: bool,
        runs: int,
        lastNotRun: int,
        // Whether `not-run` was reported for an attempt that ran.
        falseNotRun: bool,
    }

    pure val noEntry: Entry = { state: "none", changedAt: -10, arrivedAt: -10 }

    var s: State

    pure def owns(st: State, vm: str): bool =
        if (vm == "old") not(st.oldAdopted) else st.newAdopted and st.handoverConfirmed

    pure def setEntry(st: State, vm: str, entry: Entry): State =
        { ...st, entries: st.entries.set(vm, entry) }

    pure def reportNotRun(st: State): State =
        { ...st, lastNotRun: st.now, falseNotRun: st.falseNotRun or st.runs > 0 }

    /// Whether the owner may admit the attempt: as new, or again after a refusal.
    pure def admits(st: State, m: Message): bool = {
        val entry = st.entries.get(m.to)
        and {
            owns(st, m.to),
            m.arrivedAt > st.lastFullAt.get(m.to),
            or {
                entry.state == "refused" and m.arrivedAt > entry.changedAt,
                and {
                    entry.state == "none",
                    st.now - st.historySince.get(m.to) > REQUIRED_HISTORY,
                    st.now - m.arrivedAt <= MAX_ATTEMPT_AGE,
                },
            },
        }
    }

    pure def afterDelivery(st: State, m: Message): State = {
        val entry = st.entries.get(m.to)
        if (admits(st, m))
            setEntry(st, m.to, { state: "running", changedAt: st.now, arrivedAt: m.arrivedAt })
        else if (owns(st, m.to) and entry.state == "refused" and m.arrivedAt <= entry.changedAt)
            reportNotRun(setEntry(st, m.to, { ...entry, changedAt: st.now }))
        else
            st // The attempt joins the earlier run, or is refused with `may-have-run`.
    }

    pure def afterWrite(st: State, vm: str): State = {
        val entry = st.entries.get(vm)
        val after = setEntry(st, vm, { ...entry, state: "wrote" })
        { ...after, runs: st.runs + 1, falseNotRun: st.falseNotRun or entry.arrivedAt <= st.lastNotRun }
    }

    /// The attempt ends without a write. The owner reports `not-run` only if no other owner can have admitted the key.
    pure def afterFailure(st: State, vm: str): State = {
        val entry = st.entries.get(vm)
        val noOtherAdmission =
            st.now < entry.changedAt + IDEMPOTENCY_WINDOW
                or (owns(st, vm) and st.historySince.get(vm) <= entry.changedAt)
        if (noOtherAdmission)
            reportNotRun(setEntry(st, vm, { ...entry, state: "refused", changedAt: st.now }))
        else
            setEntry(st, vm, { ...entry, state: "ended", changedAt: st.now })
    }

    pure def isExpired(st: State, entry: Entry): bool = or {
        entry.state == "ended" and st.now > entry.changedAt + IDEMPOTENCY_WINDOW + MAX_ATTEMPT_AGE,
        entry.state == "refused" and st.now > entry.changedAt + MAX_ATTEMPT_AGE,
    }

    pure def afterRestart(st: State, vm: str): State = {
        ...setEntry(st, vm, noEntry),
        historySince: st.historySince.set(vm, st.now),
        lastFullAt: st.lastFullAt.set(vm, -10),
        handoverConfirmed: if (vm == "new") false else st.handoverConfirmed,
    }

    action init = s' = {
        now: 0,
        firstSent: -1,
        messages: Set(),
        entries: VMS.mapBy(_ => noEntry),
        historySince: VMS.mapBy(_ => -10),
        lastFullAt: VMS.mapBy(_ => -10),
        oldAdopted: false,
        newAdopted: false,
        handoverConfirmed: false,
        runs: 0,
        lastNotRun: -1,
        falseNotRun: false,
    }

    action tick = s' = { ...s, now: s.now + 1 }

    action send(vm: str): bool = all {
        s.firstSent < 0 or s.now - s.firstSent <= IDEMPOTENCY_WINDOW,
        s' = {
            ...s,
            firstSent: if (s.firstSent < 0) s.now else s.firstSent,
            messages: s.messages.union(Set({ to: vm, arrivedAt: s.now })),
        },
    }

    action refuseAsStoreFull(m: Message): bool = all {
        admits(s, m),
        s' = reportNotRun({ ...s, lastFullAt: s.lastFullAt.set(m.to, s.now) }),
    }

    action write(vm: str): bool = all { s.entries.get(vm).state == "running", s' = afterWrite(s, vm) }

    action failBeforeWrite(vm: str): bool = all { s.entries.get(vm).state == "running", s' = afterFailure(s, vm) }

    action end(vm: str): bool = all {
        s.entries.get(vm).state == "wrote",
        s' = setEntry(s, vm, { ...s.entries.get(vm), state: "ended", changedAt: s.now }),
    }

    action expire(vm: str): bool = all { isExpired(s, s.entries.get(vm)), s' = setEntry(s, vm, noEntry) }

    action restart(vm: str): bool = s' = afterRestart(s, vm)

    action adoptOld = s' = { ...s, oldAdopted: true }

    action adoptNew = all {
        not(s.newAdopted),
        s' = { ...s, newAdopted: true, historySince: s.historySince.set("new", s.now) },
    }

    action confirmHandover = all {
        s.oldAdopted and not(s.handoverConfirmed),
        s' = { ...s, handoverConfirmed: true, historySince: s.historySince.set("new", s.now) },
    }

    action step = {
        nondet vm = VMS.oneOf()
        any {
            tick,
            tick,
            send(vm),
            { nondet m = s.messages.oneOf() s' = afterDelivery(s, m) },
            { nondet m = s.messages.oneOf() s' = afterDelivery(s, m) },
            { nondet m = s.messages.oneOf() refuseAsStoreFull(m) },
            write(vm),
            failBeforeWrite(vm),
            end(vm),
            expire(vm),
            restart(vm),
            any { adoptOld, adoptNew, confirmHandover },
        }
    }

    val atMostOnce = s.runs <= 1
    val notRunIsTrue = not(s.falseNotRun)
    val safe = atMostOnce and notRunIsTrue
}

module operations {
    import operationsProtocol(REQUIRED_HISTORY = 3).*
}
