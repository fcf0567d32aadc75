//! The rows of the capacity page: the roles, the state and resources of each, the budget that limits a row and the
//! mechanism that bounds it.

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

/// Events: the name in a condition after `event:` or `return:`, and the title on the page.
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

/// A budget of the target: the product of the values of these keys and a factor that converts it to the row's unit.
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
const ADDED_LATENCY: Option<Budget> = Some(Budget {
    keys: &["added_p99"],
    factor: 1000.0,
});
const ADDED_LATENCY_PER_HOP: Option<Budget> = Some(Budget {
    keys: &["added_p99", "depth"],
    factor: 1000.0,
});
const CHANGE_IN_FORCE: Option<Budget> = Some(Budget {
    keys: &["change_in_force"],
    factor: 1.0,
});

/// What bounds a figure, and the source file that does it; no file where no mechanism exists.
#[derive(Debug, Clone, Copy)]
pub struct Mechanism {
    pub what: &'static str,
    pub file: Option<&'static str>,
}

const fn bounded_by(what: &'static str, file: &'static str) -> Mechanism {
    Mechanism {
        what,
        file: Some(file),
    }
}

const fn no_mechanism(what: &'static str) -> Mechanism {
    Mechanism { what, file: None }
}

#[derive(Debug)]
pub struct Row {
    pub title: &'static str,
    /// Quantities whose sum is the figure of the row.
    pub quantities: &'static [&'static str],
    pub unit: &'static str,
    /// Attribute and value: the row takes only points that have it.
    pub filter: Option<(&'static str, &'static str)>,
    pub budget: Option<Budget>,
    pub mechanism: Mechanism,
    /// Belongs to an alternative interpretation of the target: shown in the tables, but not among the rows that break first.
    pub alternative: bool,
}

const fn row(
    title: &'static str,
    quantities: &'static [&'static str],
    unit: &'static str,
    budget: Option<Budget>,
    mechanism: Mechanism,
) -> Row {
    Row {
        title,
        quantities,
        unit,
        filter: None,
        budget,
        mechanism,
        alternative: false,
    }
}

/// State that a role holds: what it is, what it grows with, what bounds it.
pub type State = (&'static str, &'static str, Mechanism);

#[derive(Debug)]
pub struct Role {
    pub key: &'static str,
    pub title: &'static str,
    pub state: &'static [State],
    pub rows: &'static [Row],
}

const DISPATCHER: &str = "crates/passroad/src/dispatcher.rs";
const RELAY: &str = "crates/passroad/src/relay.rs";
const ENDPOINT_POOL: &str = "crates/passroad/src/relay/pool.rs";
const DISCOVERY_CLIENT: &str = "crates/passroad/src/discovery.rs";
const LISTENER: &str = "crates/passroad/src/listener.rs";
const REQUEST_HANDLER: &str = "crates/passroad/src/request_handler.rs";
const CHOICE_PARAMETERS: &str = "crates/passroad-choice/src/choice/parameters.rs";
const PROBING: &str = "crates/passroad-choice/src/choice/probing.rs";
const SCORING: &str = "crates/passroad-choice/src/choice/scoring.rs";
const ENDPOINT_STATE: &str = "crates/passroad-choice/src/choice/endpoint.rs";
const MEMBERSHIP: &str = "crates/passroad-peers/src/lib.rs";
const FLEET_EVENT_LOOP: &str = "crates/passroad/src/fleet/event_loop.rs";
const LEASE: &str = "crates/passroad-lease/src/lib.rs";
const VOTER_SELECTION: &str = "crates/passroad-lease/src/voter_selection.rs";
const VOTER: &str = "crates/passroad-lease/src/voter.rs";
const LEASED_CALLS: &str = "crates/passroad/src/fleet/calls.rs";
const MAINTENANCE: &str = "crates/passroad-upkeep/src/lib.rs";
const COORDINATOR_FILE: &str = "crates/passroad-upkeep/src/coordinator.rs";
const OPERATION_LOG: &str = "crates/passroad-upkeep/src/operation_log.rs";
const FLEET_MACHINES: &str = "crates/passroad/src/fleet/machines.rs";

const GOSSIP: Mechanism = bounded_by(
    "one question a period, 8 datagrams of 256 bytes a second at most",
    MEMBERSHIP,
);
const FULL_LIST: Mechanism =
    no_mechanism("each sidecar is sent the whole list; no subset, no cap on bytes");
const DISCOVERY_WATCH: Mechanism = bounded_by(
    "one watch, changes only, renewed at a quarter of `ask_every`",
    DISCOVERY_CLIENT,
);

const WARM_POINTS: Option<(&str, &str)> = Some(("connections", "warm"));
const COLD_POINTS: Option<(&str, &str)> = Some(("connections", "cold"));
const CALL_PATH: Role = Role {
    key: "call-path",
    title: "A sidecar on a call's way",
    state: &[
        (
            "calls open, with their bodies",
            "calls open",
            bounded_by(
                "a quarter of `limits.memory_mb` for bodies",
                REQUEST_HANDLER,
            ),
        ),
        (
            "connections, 16 idle ones kept an endpoint",
            "endpoints called, calls open",
            bounded_by("`Dialer`", ENDPOINT_POOL),
        ),
        (
            "what is known of each endpoint and class",
            "endpoints x classes",
            bounded_by("the module's tables", ENDPOINT_STATE),
        ),
    ],
    rows: &[
        Row {
            filter: WARM_POINTS,
            ..row(
                "added to a call, p99, warm connections",
                &["added-p99"],
                "ms",
                ADDED_LATENCY,
                bounded_by("the request's life", RELAY),
            )
        },
        Row {
            filter: COLD_POINTS,
            ..row(
                "added to a call, p99, cold connections",
                &["added-p99"],
                "ms",
                ADDED_LATENCY,
                bounded_by("the connector", ENDPOINT_POOL),
            )
        },
        Row {
            filter: WARM_POINTS,
            ..row(
                "added to a call, p50, warm connections",
                &["added-p50"],
                "ms",
                None,
                bounded_by("the request's life", RELAY),
            )
        },
        Row {
            filter: WARM_POINTS,
            ..row(
                "added to a call, p99.9, warm connections",
                &["added-p999"],
                "ms",
                None,
                bounded_by("the request's life", RELAY),
            )
        },
        Row {
            filter: WARM_POINTS,
            ..row(
                "share of calls over the straight median and the budget, warm",
                &["via-over-budget"],
                "",
                None,
                bounded_by("the request's life", RELAY),
            )
        },
        Row {
            filter: WARM_POINTS,
            ..row(
                "the same share of straight calls, warm",
                &["direct-over-budget"],
                "",
                None,
                no_mechanism("for comparison: no sidecar on the way"),
            )
        },
        row(
            "calls of one sidecar",
            &["calls"],
            "1/s",
            None,
            bounded_by("intake and desk", DISPATCHER),
        ),
        Row {
            filter: WARM_POINTS,
            ..row(
                "processor time of a call",
                &["cpu-per-call"],
                "us",
                None,
                bounded_by("desk and relay", DISPATCHER),
            )
        },
        Row {
            filter: WARM_POINTS,
            ..row(
                "processor",
                &["cpu"],
                "of a core",
                None,
                bounded_by("desk and relay", DISPATCHER),
            )
        },
        Row {
            filter: WARM_POINTS,
            ..row(
                "probes for each call",
                &["probes-per-call"],
                "",
                None,
                bounded_by("`recovery_interval`, `prices.probe`", CHOICE_PARAMETERS),
            )
        },
        row(
            "messages in",
            &["messages-in"],
            "1/s",
            None,
            bounded_by("front", LISTENER),
        ),
        row(
            "messages out",
            &["messages-out"],
            "1/s",
            None,
            bounded_by("relay and probe", RELAY),
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            None,
            bounded_by("front", LISTENER),
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            None,
            bounded_by("relay and probe", RELAY),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            None,
            bounded_by("`limits.memory_mb`", REQUEST_HANDLER),
        ),
    ],
};

const CONTROL: Role = Role {
    key: "control",
    title: "A sidecar's control: list, probes, membership, leases, configuration, operators' door, log",
    state: &[
        ("the list", "endpoints of all services", FULL_LIST),
        (
            "members: standing, incarnation, when",
            "sidecars",
            bounded_by("a table, 32 bytes each", MEMBERSHIP),
        ),
        (
            "what is still to be told on",
            "changes of the last seconds",
            bounded_by("told 3 log2(n) times each", MEMBERSHIP),
        ),
        (
            "entries of work",
            "machines out for work",
            bounded_by("500 at most", MAINTENANCE),
        ),
        (
            "the operators' door",
            "callers",
            bounded_by(
                "48 at once, 3 s a call",
                "crates/passroad/src/management.rs",
            ),
        ),
        (
            "the log",
            "changes",
            bounded_by(
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
            FULL_LIST,
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
            FULL_LIST,
        ),
        Row {
            alternative: true,
            ..row(
                "bytes in and out, where a probe is control",
                &["bytes-in", "bytes-out", "probe-bytes"],
                "B/s",
                CONTROL_BYTES,
                bounded_by(
                    "what is heard of an endpoint stands for a while, so probes grow less than calls; no cap on bytes",
                    PROBING,
                ),
            )
        },
        row(
            "processor",
            &["cpu"],
            "of a core",
            CONTROL_CPU,
            bounded_by("one thread for talk between sidecars", FLEET_EVENT_LOOP),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            CONTROL_MEMORY,
            bounded_by("tables by index", ENDPOINT_STATE),
        ),
        row(
            "until all know of a death or a start",
            &["known-by-all"],
            "s",
            None,
            bounded_by("told on with each datagram", MEMBERSHIP),
        ),
        row(
            "false doubts",
            &["false-doubts"],
            "",
            None,
            bounded_by("helpers, and a starved one doubts nobody", MEMBERSHIP),
        ),
    ],
};

const DISCOVERY: Role = Role {
    key: "discovery",
    title: "Discovery, as the sidecars ask it",
    state: &[
        ("open watches", "sidecars", DISCOVERY_WATCH),
        (
            "the list with its revisions",
            "endpoints, changes",
            no_mechanism("it is outside; the rig has a stand-in"),
        ),
    ],
    rows: &[
        row("open watches", &["open-watches"], "", None, DISCOVERY_WATCH),
        row("calls", &["calls"], "1/s", None, DISCOVERY_WATCH),
        row(
            "until all have a change of the list",
            &["known-by-all"],
            "s",
            None,
            DISCOVERY_WATCH,
        ),
        row(
            "messages in",
            &["messages-in"],
            "1/s",
            None,
            DISCOVERY_WATCH,
        ),
        row(
            "messages out",
            &["messages-out"],
            "1/s",
            None,
            DISCOVERY_WATCH,
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            MACHINES_BYTES,
            DISCOVERY_WATCH,
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            MACHINES_BYTES,
            FULL_LIST,
        ),
        row(
            "processor",
            &["cpu"],
            "cores",
            MACHINES_CPU,
            no_mechanism("outside; nothing spreads the callers over the machines"),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            MACHINES_MEMORY,
            no_mechanism("outside; nothing spreads the callers over the machines"),
        ),
    ],
};

const VOTE_MESSAGES: Mechanism = bounded_by("a word and an answer for each renewal", VOTER);
const VOTER_ROLE: Role = Role {
    key: "voter",
    title: "A voter, beside its sidecar's own control",
    state: &[(
        "for each duty the promise, the grant, whom it turned away",
        "duties",
        bounded_by("five fixed voters a duty", VOTER_SELECTION),
    )],
    rows: &[
        row("messages in", &["messages-in"], "1/s", None, VOTE_MESSAGES),
        row(
            "messages out",
            &["messages-out"],
            "1/s",
            None,
            VOTE_MESSAGES,
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            CONTROL_BYTES,
            VOTE_MESSAGES,
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            CONTROL_BYTES,
            VOTE_MESSAGES,
        ),
        row(
            "processor",
            &["cpu"],
            "of a core",
            CONTROL_CPU,
            VOTE_MESSAGES,
        ),
        row("memory", &["memory"], "MB", CONTROL_MEMORY, VOTE_MESSAGES),
    ],
};

const LEASE_RENEWAL: Mechanism =
    bounded_by("renews at a third of the lease, with five voters", LEASE);
const DUTY_OWNER: Role = Role {
    key: "duty-owner",
    title: "The owner of a duty, beside its sidecar's own control",
    state: &[
        (
            "the epoch, and which voters granted it",
            "voters",
            LEASE_RENEWAL,
        ),
        (
            "the one call that is out",
            "nothing",
            bounded_by("one at a time", LEASED_CALLS),
        ),
    ],
    rows: &[
        row("messages in", &["messages-in"], "1/s", None, LEASE_RENEWAL),
        row(
            "messages out",
            &["messages-out"],
            "1/s",
            None,
            LEASE_RENEWAL,
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            CONTROL_BYTES,
            LEASE_RENEWAL,
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            CONTROL_BYTES,
            LEASE_RENEWAL,
        ),
        row(
            "processor",
            &["cpu"],
            "of a core",
            CONTROL_CPU,
            LEASE_RENEWAL,
        ),
        row("memory", &["memory"], "MB", CONTROL_MEMORY, LEASE_RENEWAL),
    ],
};

const COORDINATOR_UPDATES: Mechanism = bounded_by(
    "asks each sidecar for each step, again after 400 ms; 5 words at a 50 ms turn at most, above the budget",
    MAINTENANCE,
);
const COORDINATOR: Role = Role {
    key: "conductor",
    title: "The conductor of work, beside its sidecar's own control",
    state: &[
        (
            "entries of work with their versions",
            "machines asked for",
            bounded_by("500 at most", OPERATION_LOG),
        ),
        (
            "who has acknowledged which step",
            "sidecars x machines out",
            bounded_by("the conductor's book", COORDINATOR_FILE),
        ),
    ],
    rows: &[
        row(
            "messages in",
            &["messages-in"],
            "1/s",
            None,
            COORDINATOR_UPDATES,
        ),
        row(
            "messages out",
            &["messages-out"],
            "1/s",
            None,
            COORDINATOR_UPDATES,
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            CONTROL_BYTES,
            COORDINATOR_UPDATES,
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            CONTROL_BYTES,
            COORDINATOR_UPDATES,
        ),
        row(
            "processor",
            &["cpu"],
            "of a core",
            CONTROL_CPU,
            bounded_by("the fleet's thread", FLEET_MACHINES),
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            CONTROL_MEMORY,
            bounded_by("500 entries at most", OPERATION_LOG),
        ),
    ],
};

const NO_CONFIG_DELIVERY: Mechanism =
    no_mechanism("a file and a SIGHUP at each process; nothing carries it to all");
const CONFIGURATION: Role = Role {
    key: "configuration",
    title: "What brings configuration, on the machines set aside",
    state: &[
        (
            "the configuration and its versions",
            "changes",
            NO_CONFIG_DELIVERY,
        ),
        (
            "who has which version in force",
            "sidecars",
            no_mechanism("nothing says that a change got there"),
        ),
    ],
    rows: &[
        row(
            "until a change is in force everywhere",
            &["known-by-all"],
            "s",
            CHANGE_IN_FORCE,
            NO_CONFIG_DELIVERY,
        ),
        row(
            "messages in",
            &["messages-in"],
            "1/s",
            None,
            NO_CONFIG_DELIVERY,
        ),
        row(
            "messages out (deliveries)",
            &["messages-out"],
            "1/s",
            None,
            NO_CONFIG_DELIVERY,
        ),
        row(
            "bytes in",
            &["bytes-in"],
            "B/s",
            MACHINES_BYTES,
            NO_CONFIG_DELIVERY,
        ),
        row(
            "bytes out",
            &["bytes-out"],
            "B/s",
            MACHINES_BYTES,
            NO_CONFIG_DELIVERY,
        ),
        row(
            "processor",
            &["cpu"],
            "cores",
            MACHINES_CPU,
            NO_CONFIG_DELIVERY,
        ),
        row(
            "memory",
            &["memory"],
            "MB",
            MACHINES_MEMORY,
            NO_CONFIG_DELIVERY,
        ),
    ],
};

const SERVICE_POINTS: Option<(&str, &str)> = Some(("of", "service"));
const POOL_POINTS: Option<(&str, &str)> = Some(("of", "pool"));
const WEIGHTED_DRAW: Mechanism = bounded_by("the weighted draw", SCORING);
const ZONE_AND_HANDSHAKE: Mechanism = bounded_by(
    "`other_zone_weight`, the price of a handshake",
    CHOICE_PARAMETERS,
);
const PROBE_COST: Mechanism = bounded_by(
    "`recovery_interval`, the price of a probe",
    CHOICE_PARAMETERS,
);
const ENDPOINT: Role = Role {
    key: "endpoint",
    title: "An endpoint: what it sees of the sidecars",
    state: &[(
        "connections",
        "sidecars that call its service",
        bounded_by(
            "the price of a handshake; 16 idle ones kept by each",
            ENDPOINT_POOL,
        ),
    )],
    rows: &[
        Row {
            filter: SERVICE_POINTS,
            ..row(
                "connections, a service of ten called by thirty",
                &["connections"],
                "",
                None,
                ZONE_AND_HANDSHAKE,
            )
        },
        Row {
            filter: POOL_POINTS,
            ..row(
                "connections, one pool for all, a twentieth of the calls",
                &["connections"],
                "",
                None,
                ZONE_AND_HANDSHAKE,
            )
        },
        Row {
            filter: SERVICE_POINTS,
            ..row("attempts", &["calls"], "1/s", None, WEIGHTED_DRAW)
        },
        Row {
            filter: SERVICE_POINTS,
            ..row(
                "probes for each call, a service of ten",
                &["probes-per-call"],
                "",
                None,
                PROBE_COST,
            )
        },
        Row {
            filter: POOL_POINTS,
            ..row(
                "probes for each call, one pool, a twentieth of the calls",
                &["probes-per-call"],
                "",
                None,
                PROBE_COST,
            )
        },
        Row {
            filter: SERVICE_POINTS,
            ..row(
                "messages in (attempts and probes)",
                &["messages-in"],
                "1/s",
                None,
                WEIGHTED_DRAW,
            )
        },
        row("bytes in", &["bytes-in"], "B/s", None, WEIGHTED_DRAW),
        row("bytes out", &["bytes-out"], "B/s", None, WEIGHTED_DRAW),
        Row {
            filter: SERVICE_POINTS,
            ..row(
                "the busiest over its fair share, a service of ten",
                &["busiest"],
                "",
                None,
                WEIGHTED_DRAW,
            )
        },
        Row {
            filter: POOL_POINTS,
            ..row(
                "the busiest over its fair share, one pool",
                &["busiest"],
                "",
                None,
                WEIGHTED_DRAW,
            )
        },
    ],
};

const NO_DEPTH_LIMIT: Mechanism =
    no_mechanism("no hop knows how deep it is; retries multiply, the limit isn't handed down");
const CLIENT_NINE_DEEP: Role = Role {
    key: "client-nine-deep",
    title: "A client at the top of the deepest tree",
    state: &[("calls open at every hop below", "depth", NO_DEPTH_LIMIT)],
    rows: &[
        Row {
            filter: WARM_POINTS,
            ..row(
                "added to the outer call, p99, the budget being each hop's",
                &["added-p99"],
                "ms",
                ADDED_LATENCY_PER_HOP,
                NO_DEPTH_LIMIT,
            )
        },
        Row {
            filter: WARM_POINTS,
            alternative: true,
            ..row(
                "added to the outer call, p99, the budget being the whole tree's",
                &["added-p99"],
                "ms",
                ADDED_LATENCY,
                NO_DEPTH_LIMIT,
            )
        },
        row(
            "inner calls for each outer one",
            &["messages-out"],
            "",
            None,
            NO_DEPTH_LIMIT,
        ),
        row(
            "attempts at the leaf for each outer call, leaf fails",
            &["attempts-leaf"],
            "",
            None,
            NO_DEPTH_LIMIT,
        ),
    ],
};

pub const ROLES: [Role; 9] = [
    CALL_PATH,
    CONTROL,
    DISCOVERY,
    VOTER_ROLE,
    DUTY_OWNER,
    COORDINATOR,
    CONFIGURATION,
    ENDPOINT,
    CLIENT_NINE_DEEP,
];
