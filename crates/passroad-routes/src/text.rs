//! The file of routes as it is written, checked against the settings, and what it comes to. Nothing is guessed: what is
//! unknown, can't be reached or leaves a command without a route is an error that names its line.

use passroad_choice::BalancerConfig;
use passroad_units::{ConfigError, HumanDuration, Ratio, line_number};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    pool: Vec<Spanned<PoolText>>,
    route: Vec<Spanned<RouteText>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PoolText {
    name: String,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    tiers: Vec<Vec<String>>,
    #[serde(default)]
    weights: BTreeMap<String, f64>,
    #[serde(default = "headroom")]
    headroom: f64,
    #[serde(default)]
    spill: SpillText,
    #[serde(default, rename = "return")]
    way_back: ReturnText,
}

fn headroom() -> f64 {
    1.4
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct SpillText {
    most: Ratio,
    per_second: Option<f64>,
    ceiling: Ratio,
    trickle: Ratio,
}

impl Default for SpillText {
    fn default() -> Self {
        SpillText {
            most: Ratio(1.0),
            per_second: None,
            ceiling: Ratio(0.8),
            trickle: Ratio(0.02),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ReturnText {
    over: HumanDuration,
    spread: Ratio,
}

impl Default for ReturnText {
    fn default() -> Self {
        ReturnText {
            over: HumanDuration(Duration::from_secs(60)),
            spread: Ratio(0.25),
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteText {
    #[serde(default)]
    verbs: Vec<String>,
    #[serde(default)]
    companies: Vec<String>,
    pool: String,
}

/// Which zones a tier holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneSelector {
    Own,
    Zone(usize),
    /// All that no earlier tier names.
    Rest,
}

#[derive(Debug, Clone, PartialEq)]
pub struct PoolConfig {
    pub name: String,
    /// An endpoint belongs if its id begins with one of these; with none named all do. The same for kinds.
    pub labels: Vec<String>,
    pub kinds: Vec<String>,
    pub weights: BTreeMap<String, f64>, // of kinds, on top of the list's; one if not named
    pub tiers: Vec<Vec<ZoneSelector>>,
    pub headroom: f64, // a tier keeps all of its traffic while so many times its usable share is one
    pub most: f64,     // of the own rate, that may spill
    pub per_second: f64, // and no more than this
    pub ceiling: f64,  // of the receiving zone's time, above which nothing more goes there
    pub trickle: f64,  // of the own rate, that goes in any case: else nothing would be known
    pub back_over: Duration,
    pub back_spread: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    pub verbs: Vec<usize>, // none: all
    pub companies: Vec<usize>,
    pub pool: usize,
}

#[derive(Debug, Clone, PartialEq)]
pub struct RoutesConfig {
    pub pools: Vec<PoolConfig>,
    pub routes: Vec<RouteConfig>,
}

impl RoutesConfig {
    /// The pool that serves a command: the first route that fits.
    pub fn pool_of(&self, verb: usize, company: Option<usize>) -> usize {
        let fits = |route: &&RouteConfig| {
            (route.verbs.is_empty() || route.verbs.contains(&verb))
                && (route.companies.is_empty()
                    || company.is_some_and(|c| route.companies.contains(&c)))
        };
        self.routes.iter().find(fits).map_or(0, |route| route.pool)
    }
}

/// Reads a file of routes against the settings it is to work with.
pub fn parse_routes(text: &str, orders: &BalancerConfig) -> Result<RoutesConfig, ConfigError> {
    let told: Text = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let mut pools: Vec<PoolConfig> = Vec::new();
    for pool in &told.pool {
        let wrong = |what: String| {
            Err(ConfigError {
                line: line_number(text, pool.span().start),
                message: what,
            })
        };
        let p = pool.get_ref();
        if p.name.is_empty() || pools.iter().any(|known| known.name == p.name) {
            return wrong(format!("name: '{}' is empty or taken", p.name));
        }
        let tiers = match tiers(p, orders) {
            Ok(tiers) => tiers,
            Err(what) => return wrong(format!("pool {}: tiers: {what}", p.name)),
        };
        if !(1.0..=10.0).contains(&p.headroom) {
            return wrong(format!("pool {}: headroom: from 1 to 10", p.name));
        }
        if let Some((kind, weight)) = p.weights.iter().find(|(_, w)| !(0.0..=1000.0).contains(*w)) {
            return wrong(format!(
                "pool {}: weights: {kind} = {weight} is out of bounds",
                p.name
            ));
        }
        if let Some(kind) = p
            .weights
            .keys()
            .find(|k| !p.kinds.is_empty() && !p.kinds.contains(k))
        {
            return wrong(format!(
                "pool {}: weights: {kind} is none of its kinds",
                p.name
            ));
        }
        if p.spill
            .per_second
            .is_some_and(|rate| rate.is_nan() || rate < 0.0)
        {
            return wrong(format!(
                "pool {}: spill.per_second: less than nothing",
                p.name
            ));
        }
        if p.spill.ceiling.0 <= 0.0 {
            return wrong(format!(
                "pool {}: spill.ceiling: nothing would ever spill; leave further tiers out",
                p.name
            ));
        }
        pools.push(PoolConfig {
            name: p.name.clone(),
            labels: p.labels.clone(),
            kinds: p.kinds.clone(),
            weights: p.weights.clone(),
            tiers,
            headroom: p.headroom,
            most: p.spill.most.0,
            per_second: p.spill.per_second.unwrap_or(f64::INFINITY),
            ceiling: p.spill.ceiling.0,
            trickle: p.spill.trickle.0.min(p.spill.most.0),
            back_over: p.way_back.over.0,
            back_spread: p.way_back.spread.0,
        });
    }
    let mut routes: Vec<RouteConfig> = Vec::new();
    for route in &told.route {
        let wrong = |what: String| {
            Err(ConfigError {
                line: line_number(text, route.span().start),
                message: what,
            })
        };
        let r = route.get_ref();
        let Some(pool) = pools.iter().position(|p| p.name == r.pool) else {
            return wrong(format!("pool: unknown '{}'", r.pool));
        };
        let find = |names: &[String], known: Vec<&str>, key: &str| -> Result<Vec<usize>, String> {
            let at = |name: &String| {
                let at = known.iter().position(|k| k == name);
                at.ok_or_else(|| format!("{key}: unknown '{name}'; there are {}", known.join(", ")))
            };
            names.iter().map(at).collect()
        };
        let verbs = find(
            &r.verbs,
            orders.classes.iter().map(|v| v.name.as_str()).collect(),
            "verbs",
        );
        let companies = find(
            &r.companies,
            orders.tenants.iter().map(|c| c.name.as_str()).collect(),
            "companies",
        );
        let (verbs, companies) = match (verbs, companies) {
            (Ok(verbs), Ok(companies)) => (verbs, companies),
            (Err(what), _) | (_, Err(what)) => return wrong(what),
        };
        let hidden = |e: &RouteConfig| {
            let covers = |wide: &[usize], narrow: &[usize]| {
                wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
            };
            covers(&e.verbs, &verbs) && covers(&e.companies, &companies)
        };
        if routes.iter().any(hidden) {
            return wrong(format!(
                "route to {}: an earlier one takes all of its commands",
                r.pool
            ));
        }
        routes.push(RouteConfig {
            verbs,
            companies,
            pool,
        });
    }
    // A command of no company, or of one that no route names, needs one that names none.
    for (n, verb) in orders.classes.iter().enumerate() {
        let takes = |r: &RouteConfig| {
            r.companies.is_empty() && (r.verbs.is_empty() || r.verbs.contains(&n))
        };
        if !routes.iter().any(takes) {
            let what = format!(
                "route: none takes {} of any company; end with a route that names none",
                verb.name
            );
            return Err(ConfigError {
                line: line_number(text, told.route.last().map_or(0, |r| r.span().start)),
                message: what,
            });
        }
    }
    if let Some(n) = (0..pools.len()).find(|n| !routes.iter().any(|r| r.pool == *n)) {
        let line = line_number(text, told.pool[n].span().start);
        return Err(ConfigError {
            line,
            message: format!("pool {}: no route leads to it", pools[n].name),
        });
    }
    Ok(RoutesConfig { pools, routes })
}

fn tiers(pool: &PoolText, orders: &BalancerConfig) -> Result<Vec<Vec<ZoneSelector>>, String> {
    let mut seen: Vec<ZoneSelector> = Vec::new();
    let mut tiers = Vec::new();
    if pool.tiers.is_empty() {
        return Err("none".into());
    }
    for names in &pool.tiers {
        if names.is_empty() {
            return Err("one is empty".into());
        }
        let mut tier = Vec::new();
        for name in names {
            if seen.contains(&ZoneSelector::Rest) {
                return Err(format!(
                    "'{name}' stands behind \"*\", which holds all the rest"
                ));
            }
            let place = match name.as_str() {
                "own" => ZoneSelector::Own,
                "*" => ZoneSelector::Rest,
                name => match orders.zones.iter().position(|z| z == name) {
                    Some(zone) => ZoneSelector::Zone(zone),
                    None => {
                        return Err(format!(
                            "unknown zone '{name}'; there are {}",
                            orders.zones.join(", ")
                        ));
                    }
                },
            };
            if seen.contains(&place) {
                return Err(format!("'{name}' is named twice"));
            }
            seen.push(place);
            tier.push(place);
        }
        tiers.push(tier);
    }
    Ok(tiers)
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use rstest::rstest;

    /// Two verbs, two companies, zones a to c; the sidecar stands in `a`.
    pub fn orders() -> BalancerConfig {
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
    #[case::odd_share(format!("{POOL}spill = {{ most = \"40ms\" }}\n{ROUTE}"), 4, "'40ms' is not a share")]
    #[case::odd_time(format!("{POOL}return = {{ over = \"13%\" }}\n{ROUTE}"), 4, "is a share where a duration is expected")]
    #[case::no_zone(POOL.replace("\"*\"", "\"d\"") + ROUTE, 1, "unknown zone 'd'; there are a, b, c")]
    #[case::twice(POOL.replace("\"*\"", "\"own\"") + ROUTE, 1, "'own' is named twice")]
    #[case::behind_the_rest(POOL.replace("[\"*\"]", "[\"*\"], [\"b\"]") + ROUTE, 1, "stands behind \"*\"")]
    #[case::empty_tier(POOL.replace("\"*\"", "") + ROUTE, 1, "one is empty")]
    #[case::same_name(format!("{POOL}{POOL}{ROUTE}"), 4, "'all' is empty or taken")]
    #[case::headroom(format!("{POOL}headroom = 0.5\n{ROUTE}"), 1, "headroom: from 1 to 10")]
    #[case::no_ceiling(format!("{POOL}spill = {{ ceiling = 0 }}\n{ROUTE}"), 1, "nothing would ever spill")]
    #[case::odd_weight(format!("{POOL}kinds = [\"m\"]\nweights = {{ n = 2.0 }}\n{ROUTE}"), 1, "n is none of its kinds")]
    #[case::no_pool(format!("{POOL}{ROUTE}").replace("pool = \"all\"", "pool = \"some\""), 4, "pool: unknown 'some'")]
    #[case::no_verb(format!("{POOL}{ROUTE}verbs = [\"buy\"]\n"), 4, "verbs: unknown 'buy'; there are look, book")]
    #[case::no_company(format!("{POOL}{ROUTE}companies = [\"ost\"]\n"), 4, "companies: unknown 'ost'")]
    #[case::hidden(format!("{POOL}{ROUTE}[[route]]\npool = \"all\"\nverbs = [\"book\"]\n"), 6, "an earlier one takes all")]
    #[case::no_route(format!("{POOL}{ROUTE}verbs = [\"look\"]\n"), 4, "none takes book of any company")]
    #[case::of_some_companies(format!("{POOL}{ROUTE}companies = [\"acme\"]\n"), 4, "none takes look of any company")]
    #[case::idle_pool(format!("{POOL}[[pool]]\nname = \"p\"\ntiers = [[\"own\"]]\n{ROUTE}"), 4, "no route leads to it")]
    fn a_slip_is_named_with_its_line(
        #[case] text: String,
        #[case] line: usize,
        #[case] what: &str,
    ) {
        let wrong = parse_routes(&text, &orders()).expect_err("it is wrong");
        assert!(
            wrong.line == line && wrong.message.contains(what),
            "{wrong}"
        );
    }

    #[rstest]
    #[case(0, Some(0), 0)]
    #[case(1, Some(0), 1)]
    #[case(1, Some(1), 2)]
    #[case(1, None, 2)]
    fn the_first_route_that_fits_takes_a_command(
        #[case] verb: usize,
        #[case] company: Option<usize>,
        #[case] pool: usize,
    ) {
        let pools: String = ["look", "acme", "rest"]
            .map(|n| POOL.replace("all", n))
            .concat();
        let routes = "[[route]]\npool = \"look\"\nverbs = [\"look\"]\n[[route]]\npool = \"acme\"\ncompanies = [\"acme\"]\n\
                      [[route]]\npool = \"rest\"\n";
        let read = parse_routes(&format!("{pools}{routes}"), &orders()).expect("routes");
        assert_eq!(read.pool_of(verb, company), pool);
    }
}
