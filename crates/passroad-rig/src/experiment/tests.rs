use super::*;
use rstest::rstest;

pub const SMALL: &str = r#"
about = "small"
length = "6s"
settle = "1s"
instances = 3

[fleet.kind.plain]
cores = 2
warm_within = "4s"

[[fleet.group]]
kind = "plain"
zone = "a"
count = 3

[[fleet.group]]
kind = "plain"
zone = "b"
count = 2

[[verb]]
name = "look"
effect = "pure"
work = "10ms"
goal = "200ms"
limit = "500ms"

[[verb]]
name = "book"
effect = "effectful"
work = "10ms"
goal = "200ms"
limit = "500ms"

[load]
of_capacity = 0.5
retries = "50%"
"#;

// The line is that of the error or of the table that contains it.
#[rstest]
#[case::invalid_toml("about = ", 1, "about")]
#[case::unknown_key(&format!("{SMALL}speed = 2\n"), 38, "speed: unknown field")]
#[case::no_unit(&SMALL.replace("\"6s\"", "\"6\""), 3, "'6' has no unit")]
#[case::unknown_unit(&SMALL.replace("\"6s\"", "\"6h\""), 3, "unknown unit 'h'")]
#[case::share_for_time(&SMALL.replace("\"200ms\"", "\"20%\""), 25, "is a share where a duration is expected")]
#[case::time_for_share(&SMALL.replace("\"50%\"", "\"50ms\""), 37, "'50ms' is not a share")]
#[case::share_over_one(&SMALL.replace("\"50%\"", "1.5"), 37, "1.5 is not a share between 0 and 1")]
#[case::number_for_time(&SMALL.replace("\"6s\"", "6"), 3, "expected a duration with a unit")]
#[case::unknown_kind(&SMALL.replace("kind = \"plain\"\nzone = \"b\"", "kind = \"big\"\nzone = \"b\""), 16, "unknown 'big'")]
#[case::goal_past_limit(&SMALL.replacen("\"500ms\"", "\"100ms\"", 1), 21, "goal of look: longer than its limit")]
#[case::same_class(&SMALL.replace("\"book\"", "\"look\""), 28, "'look' is taken")]
#[case::no_window(&SMALL.replace("\"effectful\"", "\"receipted\""), 28, "a receipted verb needs one")]
#[case::unknown_effect(&SMALL.replace("\"effectful\"", "\"harmless\""), 30, "effect: unknown variant `harmless`")]
#[case::two_loads(&SMALL.replace("of_capacity = 0.5", "of_capacity = 0.5\nper_second = 9"), 35, "one of of_capacity")]
#[case::settle_as_long_as_the_run(&SMALL.replace("settle = \"1s\"", "settle = \"6s\""), 4, "settle: must be shorter than length")]
#[case::unknown_endpoint(&format!("{SMALL}[[fault]]\nkind = \"stall\"\nat = \"1s\"\nendpoints = [5]\n"), 38, "there is no 5")]
#[case::unknown_zone(&format!("{SMALL}[[fault]]\nkind = \"die\"\nat = \"1s\"\nzone = \"c\"\n"), 38, "zone: unknown 'c'")]
#[case::no_left(&format!("{SMALL}[[fault]]\nkind = \"slow\"\nat = \"1s\"\n"), 38, "fault slow: left is missing")]
#[case::unknown_instance(
    &format!("{SMALL}[[fault]]\nkind = \"silence\"\nat = \"1s\"\ninstances = [3]\n"), 38, "there is no 3"
)]
#[case::unknown_class(&format!("{SMALL}[[fault]]\nkind = \"hang\"\nat = \"1s\"\nverb = \"buy\"\n"), 38, "unknown 'buy'")]
#[case::stop_needs_sockets(&format!("{SMALL}[[fault]]\nkind = \"sidecar-stop\"\nat = \"1s\"\n"), 1, "sockets = \"needed\"")]
#[case::upgrade_needs_sockets(&format!("{SMALL}[[fault]]\nkind = \"sidecar-upgrade\"\nat = \"1s\"\n"), 1, "sockets = \"needed\"")]
#[case::reconfigured_without_relays(&format!("sockets = \"needed\"\n{SMALL}[[fault]]\nkind = \"sidecar-retune\"\nat = \"1s\"\n"), 39, "relays is missing")]
#[case::unknown_policy(&SMALL.replace("instances = 3", "policies = [\"best\"]"), 5, "unknown 'best'")]
#[case::no_bound(&format!("{SMALL}[[hold]]\nmetric = \"served\"\n"), 38, "without either it can't fail")]
#[case::unknown_metric(&format!("{SMALL}[[hold]]\nmetric = \"luck\"\nat_most = 1\n"), 39, "unknown variant `luck`")]
#[case::share_without_a_zone(&format!("{SMALL}[[hold]]\nmetric = \"share\"\nat_most = 1\n"), 38, "are of a zone")]
fn an_error_names_its_line_and_key(#[case] text: &str, #[case] line: usize, #[case] message: &str) {
    let error = parse(text).expect_err("an error");
    assert!(
        error.line == line && error.message.contains(message),
        "{error}"
    );
}

#[rstest]
fn a_plan_has_the_changes_and_settings_of_its_file() {
    let faults = "[[fault]]\nkind = \"die\"\nat = \"1s\"\nfor = \"500ms\"\nzone = \"b\"\nevery = \"2s\"\nrepeat = 2\n";
    let plan = parse(&format!("{SMALL}{faults}")).expect("a plan");
    assert_eq!(
        (plan.endpoints.len(), plan.zones.len(), plan.instances),
        (5, 2, 3)
    );
    // Ten cores at half their capacity, 10 ms for each command.
    assert_eq!(plan.per_second.round(), 500.0);
    let at = |ms: u64, change| (Duration::from_millis(ms), change);
    let (crashes, starts) = (|e| ScheduledChange::Crash(e), |e| ScheduledChange::Start(e));
    let expected = [
        at(1000, crashes(3)),
        at(1000, crashes(4)),
        at(1500, starts(3)),
        at(1500, starts(4)),
        at(3000, crashes(3)),
        at(3000, crashes(4)),
        at(3500, starts(3)),
        at(3500, starts(4)),
    ];
    assert_eq!(plan.changes, expected);
    let config = passroad_orders::config_from_value(1, &plan.settings(1))
        .expect("settings that can be used");
    assert_eq!(
        (config.own_zone, config.classes.len(), config.max_relays),
        (1, 2, 4)
    );
    assert_eq!(config.warm_up_time, Duration::from_secs(4));
}
