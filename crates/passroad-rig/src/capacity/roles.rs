//! What the page has a row for: roles, what each holds and spends, the budget that binds it and the mechanism that
//! carries it.

pub const CONDITIONS: [&str; 2] = ["rest", "ordinary"];
pub const STATISTICS: [&str; 8] = [
    "mean",
    "busiest",
    "worst-second",
    "most",
    "p50",
    "p99",
    "p999",
    "twice-standard-error",
];

/// Events, as conditions name them after `event:` and `return:`, and as the page does.
pub const EVENTS: [(&str, &str); 10] = [
    ("two-gone", "2 machines gone"),
    ("restarts-day", "55 restarts over a day"),
    ("restarts-55", "55 restarts in a minute"),
    ("release", "release of one service"),
    ("rack", "a rack"),
    ("zone", "a zone"),
    ("region-cut", "a region cut off"),
    ("region-cut-out", "a region cut off one way"),
    ("all-start", "all start at once"),
    ("discovery-down", "discovery down"),
];

/// A budget of the target: the product of the values of these keys, in the row's unit.
#[derive(Debug)]
pub struct Budget {
    pub keys: &'static [&'static str],
    pub factor: f64,
}

const CONTROL_BYTES: Option<Budget> = Some(Budget {
    keys: &["control_bytes_per_second"],
    factor: 1.0,
});
const CONTROL_CPU: Option<Budget> = Some(Budget {
    keys: &["control_cpu"],
    factor: 1.0,
});
const CONTROL_MEMORY: Option<Budget> = Some(Budget {
    keys: &["control_memory_mb"],
    factor: 1.0,
});
const MACHINES_BYTES: Option<Budget> = Some(Budget {
    keys: &["control_machines", "bytes_per_second"],
    factor: 1.0,
});
const MACHINES_CPU: Option<Budget> = Some(Budget {
    keys: &["control_machines", "cores"],
    factor: 1.0,
});
const MACHINES_MEMORY: Option<Budget> = Some(Budget {
    keys: &["control_machines", "memory_mb"],
    factor: 1.0,
});
const ADDED: Option<Budget> = Some(Budget {
    keys: &["added_p99"],
    factor: 1000.0,
});
const ADDED_EACH_HOP: Option<Budget> = Some(Budget {
    keys: &["added_p99", "depth"],
    factor: 1000.0,
});
const IN_FORCE: Option<Budget> = Some(Budget {
    keys: &["change_in_force"],
    factor: 1.0,
});

/// What carries it: what it does, and the file; no file where nothing carries it.
#[derive(Debug, Clone, Copy)]
pub struct Mechanism {
    pub what: &'static str,
    pub file: Option<&'static str>,
}

const fn by(what: &'static str, file: &'static str) -> Mechanism {
    Mechanism {
        what,
        file: Some(file),
    }
}

const fn none(what: &'static str) -> Mechanism {
    Mechanism { what, file: None }
}

#[derive(Debug)]
pub struct Row {
    pub title: &'static str,
    /// Quantities that are added up.
    pub parts: &'static [&'static str],
    pub unit: &'static str,
    /// A word that the points were taken at, where a row is of those only.
    pub with: Option<(&'static str, &'static str)>,
    pub budget: Option<Budget>,
    pub carried: Mechanism,
    /// Of another reading of the target than the page goes by; it stands in the tables, and is not counted among the first.
    pub otherwise: bool,
}

const fn row(
    title: &'static str,
    parts: &'static [&'static str],
    unit: &'static str,
    budget: Option<Budget>,
    carried: Mechanism,
) -> Row {
    Row {
        title,
        parts,
        unit,
        with: None,
        budget,
        carried,
        otherwise: false,
    }
}

/// What is held: what, by what it grows, what bounds it.
pub type State = (&'static str, &'static str, Mechanism);

#[derive(Debug)]
pub struct Role {
    pub key: &'static str,
    pub title: &'static str,
    pub state: &'static [State],
    pub rows: &'static [Row],
}

const DESK: &str = "crates/passroad/src/dispatcher.rs";
const RELAY: &str = "crates/passroad/src/relay.rs";
const ENDPOINT_POOL: &str = "crates/passroad/src/relay/pool.rs";
const PROBE: &str = "crates/passroad/src/probe.rs";
const LIST: &str = "crates/passroad/src/discovery.rs";
const FRONT: &str = "crates/passroad/src/listener.rs";
const ROOM: &str = "crates/passroad/src/descriptors.rs";
const CHOICE: &str = "crates/passroad-choice/src/choice.rs";
const STATE: &str = "crates/passroad-choice/src/choice/endpoint.rs";
const PEERS: &str = "crates/passroad-peers/src/lib.rs";
const TALK: &str = "crates/passroad/src/fleet/event_loop.rs";
const LEASE: &str = "crates/passroad-lease/src/lib.rs";
const VOTER: &str = "crates/passroad-lease/src/voter.rs";
const CALLS: &str = "crates/passroad/src/fleet/calls.rs";
const UPKEEP: &str = "crates/passroad-upkeep/src/lib.rs";
const BOOK: &str = "crates/passroad-upkeep/src/operation_log.rs";
const WORK: &str = "crates/passroad/src/fleet/machines.rs";

const GOSSIP: Mechanism = by(
    "one question a period, 8 datagrams of 256 bytes a second at most",
    PEERS,
);
const WHOLE_LIST: Mechanism =
    none("each sidecar is sent the whole list; no subset, no cap on bytes");
const ONE_WATCH: Mechanism = by(
    "one watch, changes only, renewed at a quarter of `ask_every`",
    LIST,
);

const WARM: Option<(&str, &str)> = Some(("connections", "warm"));
const COLD: Option<(&str, &str)> = Some(("connections", "cold"));
const CALL_PATH: Role = Role {
    key: "call-path",
    title: "A sidecar on a call's way",
    state: &[
        (
            "calls open, with their bodies",
            "calls open",
            by("a quarter of `limits.memory_mb` for bodies", ROOM),
        ),
        (
            "connections, 16 idle ones kept an endpoint",
            "endpoints called, calls open",
            by("`Dialer`", ENDPOINT_POOL),
        ),
        (
            "what is known of each endpoint and class",
            "endpoints x classes",
            by("the module's tables", STATE),
        ),
    ],
    rows: &[
        Row {
            with: WARM,
            ..row(
                "added to a call, p99, warm connections",
                &["added-p99"],
                "ms",
                ADDED,
                by("the request's life", RELAY),
            )
        },
        Row {
            with: COLD,
            ..row(
                "added to a call, p99, cold connections",
                &["added-p99"],
                "ms",
                ADDED,
                by("the connector", ENDPOINT_POOL),
            )
        },
        Row {
            with: WARM,
            ..row(
                "added to a call, p50, warm connections",
                &["added-p50"],
                "ms",
                None,
                by("the request's life", RELAY),
            )
        },
        Row {
            with: WARM,
            ..row(
                "added to a call, p99.9, warm connections",
                &["added-p999"],
                "ms",
                None,
                by("the request's life", RELAY),
            )
        },
        Row {
            with: WARM,
            ..row(
                "share of calls over the straight median and the budget, warm",
                &["via-over-budget"],
                "",
                None,
                by("the request's life", RELAY),
            )
        },
        Row {
            with: WARM,
            ..row(
                "the same share of straight calls, warm",
                &["direct-over-budget"],
                "",
                None,
                none("for comparison: no sidecar on the way"),
            )
        },
        row(
            "calls of one sidecar",
            &["calls"],
            "1/s",
            None,
            by("intake and desk", DESK),
        ),
        Row {
            with: WARM,
            ..row(
                "processor time of a call",
                &["cpu-per-call"],
                "us",
                None,
                by("desk and relay", DESK),
            )
        },
        Row {
            with: WARM,
            ..row(
                "processor",
                &["cpu"],
                "of a core",
                None,
                by("desk and relay", DESK),
            )
        },
        Row {
            with: WARM,
            ..row(
                "probes for each call",
                &["probes-per-call"],
                "",
                None,
                by("`trust`, `prices.probe`", CHOICE),
            )
        },
        row(
            "messages in",
            &["messages-in"],
            "1/s",
            None,
            by("front", FRONT),
        ),
        row(
            "messages out",
            &["messages-out"],
            "1/s",
            None,
            by("relay and probe", RELAY),
        ),
        row("bytes in", &["bytes-in"], "B/s", None, by("front", FRONT)),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            None,
            by("relay and probe", RELAY),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            None,
            by("`limits.memory_mb`", ROOM),
        ),
    ],
};

const CONTROL: Role = Role {
    key: "control",
    title: "A sidecar's control: list, probes, membership, leases, configuration, operators' door, log",
    state: &[
        ("the list", "endpoints of all services", WHOLE_LIST),
        (
            "members: standing, incarnation, when",
            "sidecars",
            by("a table, 32 bytes each", PEERS),
        ),
        (
            "what is still to be told on",
            "changes of the last seconds",
            by("told 3 log2(n) times each", PEERS),
        ),
        (
            "entries of work",
            "machines out for work",
            by("500 at most", UPKEEP),
        ),
        (
            "the operators' door",
            "callers",
            by(
                "48 at once, 3 s a call",
                "crates/passroad/src/management.rs",
            ),
        ),
        (
            "the log",
            "changes",
            by(
                "standard error; lines told once a minute a cause",
                "crates/passroad/src/logging.rs",
            ),
        ),
    ],
    rows: &[
        row("messages in", &["messages-in"], "1/s", None, GOSSIP),
        row("messages out", &["messages-out"], "1/s", None, GOSSIP),
        row(
            "bytes in, probes apart",
            &["bytes-in"],
            "B/s",
            CONTROL_BYTES,
            WHOLE_LIST,
        ),
        row(
            "bytes out, probes apart",
            &["bytes-out"],
            "B/s",
            CONTROL_BYTES,
            GOSSIP,
        ),
        row(
            "bytes in and out, probes apart",
            &["bytes-in", "bytes-out"],
            "B/s",
            CONTROL_BYTES,
            WHOLE_LIST,
        ),
        Row {
            otherwise: true,
            ..row(
                "bytes in and out, where a probe is control",
                &["bytes-in", "bytes-out", "probe-bytes"],
                "B/s",
                CONTROL_BYTES,
                by(
                    "what is heard of an endpoint stands for a while, so probes grow less than calls; no cap on bytes",
                    CHOICE,
                ),
            )
        },
        row(
            "processor",
            &["cpu"],
            "of a core",
            CONTROL_CPU,
            by("one thread for talk between sidecars", TALK),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            CONTROL_MEMORY,
            by("tables by index", STATE),
        ),
        row(
            "until all know of a death or a start",
            &["known-by-all"],
            "s",
            None,
            by("told on with each datagram", PEERS),
        ),
        row(
            "false doubts",
            &["false-doubts"],
            "",
            None,
            by("helpers, and a starved one doubts nobody", PEERS),
        ),
    ],
};

const DISCOVERY: Role = Role {
    key: "discovery",
    title: "Discovery, as the sidecars ask it",
    state: &[
        ("open watches", "sidecars", ONE_WATCH),
        (
            "the list with its revisions",
            "endpoints, changes",
            none("it is outside; the rig has a stand-in"),
        ),
    ],
    rows: &[
        row("open watches", &["open-watches"], "", None, ONE_WATCH),
        row("calls", &["calls"], "1/s", None, ONE_WATCH),
        row(
            "until all have a change of the list",
            &["known-by-all"],
            "s",
            None,
            ONE_WATCH,
        ),
        row("messages in", &["messages-in"], "1/s", None, ONE_WATCH),
        row("messages out", &["messages-out"], "1/s", None, ONE_WATCH),
        row("bytes in", &["bytes-in"], "B/s", MACHINES_BYTES, ONE_WATCH),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            MACHINES_BYTES,
            WHOLE_LIST,
        ),
        row(
            "processor",
            &["cpu"],
            "cores",
            MACHINES_CPU,
            none("outside; nothing spreads the callers over the machines"),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            MACHINES_MEMORY,
            none("outside; nothing spreads the callers over the machines"),
        ),
    ],
};

const VOTES: Mechanism = by("a word and an answer for each renewal", VOTER);
const VOTER_ROLE: Role = Role {
    key: "voter",
    title: "A voter, beside its sidecar's own control",
    state: &[(
        "for each duty the promise, the grant, whom it turned away",
        "duties",
        by("five fixed voters a duty", LEASE),
    )],
    rows: &[
        row("messages in", &["messages-in"], "1/s", None, VOTES),
        row("messages out", &["messages-out"], "1/s", None, VOTES),
        row("bytes in", &["bytes-in"], "B/s", CONTROL_BYTES, VOTES),
        row("bytes out", &["bytes-out"], "B/s", CONTROL_BYTES, VOTES),
        row("processor", &["cpu"], "of a core", CONTROL_CPU, VOTES),
        row("memory", &["memory"], "MB", CONTROL_MEMORY, VOTES),
    ],
};

const RENEWS: Mechanism = by("renews at a third of the lease, with five voters", LEASE);
const DUTY_OWNER: Role = Role {
    key: "duty-owner",
    title: "The owner of a duty, beside its sidecar's own control",
    state: &[
        ("the epoch, and which voters granted it", "voters", RENEWS),
        (
            "the one call that is out",
            "nothing",
            by("one at a time", CALLS),
        ),
    ],
    rows: &[
        row("messages in", &["messages-in"], "1/s", None, RENEWS),
        row("messages out", &["messages-out"], "1/s", None, RENEWS),
        row("bytes in", &["bytes-in"], "B/s", CONTROL_BYTES, RENEWS),
        row("bytes out", &["bytes-out"], "B/s", CONTROL_BYTES, RENEWS),
        row("processor", &["cpu"], "of a core", CONTROL_CPU, RENEWS),
        row("memory", &["memory"], "MB", CONTROL_MEMORY, RENEWS),
    ],
};

const ASKS: Mechanism = by(
    "asks each sidecar for each step, again after 400 ms; 5 words at a 50 ms turn at most, above the budget",
    UPKEEP,
);
const CONDUCTOR: Role = Role {
    key: "conductor",
    title: "The conductor of work, beside its sidecar's own control",
    state: &[
        (
            "entries of work with their versions",
            "machines asked for",
            by("500 at most", BOOK),
        ),
        (
            "who has acknowledged which step",
            "sidecars x machines out",
            by("the conductor's book", UPKEEP),
        ),
    ],
    rows: &[
        row("messages in", &["messages-in"], "1/s", None, ASKS),
        row("messages out", &["messages-out"], "1/s", None, ASKS),
        row("bytes in", &["bytes-in"], "B/s", CONTROL_BYTES, ASKS),
        row("bytes out", &["bytes-out"], "B/s", CONTROL_BYTES, ASKS),
        row(
            "processor",
            &["cpu"],
            "of a core",
            CONTROL_CPU,
            by("the fleet's thread", WORK),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            CONTROL_MEMORY,
            by("500 entries at most", BOOK),
        ),
    ],
};

const NOTHING_BRINGS: Mechanism =
    none("a file and a SIGHUP at each process; nothing carries it to all");
const CONFIGURATION: Role = Role {
    key: "configuration",
    title: "What brings configuration, on the machines set aside",
    state: &[
        (
            "the configuration and its versions",
            "changes",
            NOTHING_BRINGS,
        ),
        (
            "who has which version in force",
            "sidecars",
            none("nothing says that a change got there"),
        ),
    ],
    rows: &[
        row(
            "until a change is in force everywhere",
            &["known-by-all"],
            "s",
            IN_FORCE,
            NOTHING_BRINGS,
        ),
        row("messages in", &["messages-in"], "1/s", None, NOTHING_BRINGS),
        row(
            "messages out (deliveries)",
            &["messages-out"],
            "1/s",
            None,
            NOTHING_BRINGS,
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            MACHINES_BYTES,
            NOTHING_BRINGS,
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            MACHINES_BYTES,
            NOTHING_BRINGS,
        ),
        row("processor", &["cpu"], "cores", MACHINES_CPU, NOTHING_BRINGS),
        row("memory", &["memory"], "MB", MACHINES_MEMORY, NOTHING_BRINGS),
    ],
};

const SERVICE: Option<(&str, &str)> = Some(("of", "service"));
const POOL: Option<(&str, &str)> = Some(("of", "pool"));
const DRAW: Mechanism = by("the weighted draw", CHOICE);
const NEAR: Mechanism = by("`near`, the price of a handshake", CHOICE);
const PROBES: Mechanism = by("`trust`, the price of a probe", PROBE);
const ENDPOINT: Role = Role {
    key: "endpoint",
    title: "An endpoint: what it sees of the sidecars",
    state: &[(
        "connections",
        "sidecars that call its service",
        by(
            "the price of a handshake; 16 idle ones kept by each",
            ENDPOINT_POOL,
        ),
    )],
    rows: &[
        Row {
            with: SERVICE,
            ..row(
                "connections, a service of ten called by thirty",
                &["connections"],
                "",
                None,
                NEAR,
            )
        },
        Row {
            with: POOL,
            ..row(
                "connections, one pool for all, a twentieth of the calls",
                &["connections"],
                "",
                None,
                NEAR,
            )
        },
        Row {
            with: SERVICE,
            ..row("attempts", &["calls"], "1/s", None, DRAW)
        },
        Row {
            with: SERVICE,
            ..row(
                "probes for each call, a service of ten",
                &["probes-per-call"],
                "",
                None,
                PROBES,
            )
        },
        Row {
            with: POOL,
            ..row(
                "probes for each call, one pool, a twentieth of the calls",
                &["probes-per-call"],
                "",
                None,
                PROBES,
            )
        },
        Row {
            with: SERVICE,
            ..row(
                "messages in (attempts and probes)",
                &["messages-in"],
                "1/s",
                None,
                DRAW,
            )
        },
        row("bytes in", &["bytes-in"], "B/s", None, DRAW),
        row("bytes out", &["bytes-out"], "B/s", None, DRAW),
        Row {
            with: SERVICE,
            ..row(
                "the busiest over its fair share, a service of ten",
                &["busiest"],
                "",
                None,
                DRAW,
            )
        },
        Row {
            with: POOL,
            ..row(
                "the busiest over its fair share, one pool",
                &["busiest"],
                "",
                None,
                DRAW,
            )
        },
    ],
};

const HOPS: Mechanism =
    none("no hop knows how deep it is; retries multiply, the limit isn't handed down");
const NINE_DEEP: Role = Role {
    key: "client-nine-deep",
    title: "A client at the top of the deepest tree",
    state: &[("calls open at every hop below", "depth", HOPS)],
    rows: &[
        Row {
            with: WARM,
            ..row(
                "added to the outer call, p99, the budget being each hop's",
                &["added-p99"],
                "ms",
                ADDED_EACH_HOP,
                HOPS,
            )
        },
        Row {
            with: WARM,
            otherwise: true,
            ..row(
                "added to the outer call, p99, the budget being the whole tree's",
                &["added-p99"],
                "ms",
                ADDED,
                HOPS,
            )
        },
        row(
            "inner calls for each outer one",
            &["messages-out"],
            "",
            None,
            HOPS,
        ),
        row(
            "attempts at the leaf for each outer call, leaf fails",
            &["attempts-leaf"],
            "",
            None,
            HOPS,
        ),
    ],
};

pub const ROLES: [Role; 9] = [
    CALL_PATH,
    CONTROL,
    DISCOVERY,
    VOTER_ROLE,
    DUTY_OWNER,
    CONDUCTOR,
    CONFIGURATION,
    ENDPOINT,
    NINE_DEEP,
];
