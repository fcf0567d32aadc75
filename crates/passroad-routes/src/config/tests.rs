use super::*;
use rstest::rstest;

/// Two request classes, two tenants, zones a to c; the sidecar is in `a`.
pub fn test_config() -> BalancerConfig {
    let text = r#"{"verbs":[
        {"name":"look","effect":"read_like","response_goal":400000000,"time_limit":1000000000,"utility":1},
        {"name":"book","effect":"non_idempotent","response_goal":400000000,"time_limit":1000000000,"utility":4}],
        "tenants":[{"name":"acme","portion":0.5},{"name":"nord","portion":0.5}],
        "dcs":["a","b","c"],"az":"a","discovery":"pushed","report":{"how":"piggyback"},
        "rules":{"cold_from":0.13,"warm_within":24000000000,"tip_multiple":2.5,"tip_after":2000000000},
        "allowed":{"max_relays":4,"may_cancel":true,"probes":true,"retry_after":true,"max_retry_after":2000000000}}"#;
    passroad_orders::config_from_text(7, text).expect("settings")
}

const POOL: &str = "[[pool]]\nname = \"all\"\ntiers = [[\"own\"], [\"*\"]]\n";
const ROUTE: &str = "[[route]]\npool = \"all\"\n";

#[rstest]
#[case::unknown_key(format!("{POOL}speed = 1\n{ROUTE}"), 4, "speed: unknown field")]
#[case::invalid_share(format!("{POOL}spill = {{ most = \"40ms\" }}\n{ROUTE}"), 4, "'40ms' is not a share")]
#[case::invalid_duration(format!("{POOL}return = {{ over = \"13%\" }}\n{ROUTE}"), 4, "is a share where a duration is expected")]
#[case::unknown_zone(POOL.replace("\"*\"", "\"d\"") + ROUTE, 1, "unknown zone 'd'; expected one of a, b, c")]
#[case::zone_listed_twice(POOL.replace("\"*\"", "\"own\"") + ROUTE, 1, "'own' is listed twice")]
#[case::zone_after_rest(POOL.replace("[\"*\"]", "[\"*\"], [\"b\"]") + ROUTE, 1, "comes after \"*\"")]
#[case::empty_tier(POOL.replace("\"*\"", "") + ROUTE, 1, "a tier is empty")]
#[case::duplicate_name(format!("{POOL}{POOL}{ROUTE}"), 4, "'all' is empty or already used")]
#[case::headroom(format!("{POOL}headroom = 0.5\n{ROUTE}"), 1, "headroom: must be between 1 and 10")]
#[case::zero_ceiling(format!("{POOL}spill = {{ ceiling = 0 }}\n{ROUTE}"), 1, "0 prevents all spill-over")]
#[case::weight_of_foreign_kind(format!("{POOL}kinds = [\"m\"]\nweights = {{ n = 2.0 }}\n{ROUTE}"), 1, "n is not one of its kinds")]
#[case::unknown_pool(format!("{POOL}{ROUTE}").replace("pool = \"all\"", "pool = \"some\""), 4, "pool: unknown 'some'")]
#[case::unknown_class(format!("{POOL}{ROUTE}verbs = [\"buy\"]\n"), 4, "verbs: unknown 'buy'; expected one of look, book")]
#[case::unknown_tenant(format!("{POOL}{ROUTE}companies = [\"ost\"]\n"), 4, "companies: unknown 'ost'")]
#[case::shadowed_route(format!("{POOL}{ROUTE}[[route]]\npool = \"all\"\nverbs = [\"book\"]\n"), 6, "an earlier route already matches all")]
#[case::class_without_route(format!("{POOL}{ROUTE}verbs = [\"look\"]\n"), 4, "no route matches book for all tenants")]
#[case::tenants_without_route(format!("{POOL}{ROUTE}companies = [\"acme\"]\n"), 4, "no route matches look for all tenants")]
#[case::unused_pool(format!("{POOL}[[pool]]\nname = \"p\"\ntiers = [[\"own\"]]\n{ROUTE}"), 4, "no route uses it")]
fn errors_name_the_line(#[case] text: String, #[case] line: usize, #[case] expected: &str) {
    let error = parse_routes(&text, &test_config()).expect_err("the file is invalid");
    assert!(
        error.line == line && error.message.contains(expected),
        "{error}"
    );
}

#[rstest]
#[case(0, Some(0), 0)]
#[case(1, Some(0), 1)]
#[case(1, Some(1), 2)]
#[case(1, None, 2)]
fn first_matching_route_wins(
    #[case] class: usize,
    #[case] tenant: Option<usize>,
    #[case] pool: usize,
) {
    let pools: String = ["look", "acme", "rest"]
        .map(|n| POOL.replace("all", n))
        .concat();
    let routes = "[[route]]\npool = \"look\"\nverbs = [\"look\"]\n[[route]]\npool = \"acme\"\ncompanies = [\"acme\"]\n\
                  [[route]]\npool = \"rest\"\n";
    let config = parse_routes(&format!("{pools}{routes}"), &test_config()).expect("routes");
    assert_eq!(config.pool_of(class, tenant), pool);
}
