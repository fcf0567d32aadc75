//! Reads the settings object into standing orders, for the adapter and the sidecar. Unknown keys are passed over.

use passroad_choice::{
    BalancerConfig, DeduplicationScope, Effect, ReportMode, RequestClassConfig, TenantConfig,
};
use serde_json::Value;
use std::time::Duration;

struct At<'a>(&'a Value);

impl At<'_> {
    fn number(&self, path: &str, absent: f64) -> Result<f64, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(absent),
            Some(v) => v
                .as_f64()
                .ok_or_else(|| format!("settings: {path} is not a number")),
        }
    }

    fn span(&self, path: &str, absent: Duration) -> Result<Duration, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(absent),
            Some(v) if v.is_u64() => Ok(Duration::from_nanos(v.as_u64().unwrap_or_default())),
            Some(v) => match v.as_f64() {
                Some(n) if n >= 0.0 => Ok(Duration::from_nanos(n as u64)),
                _ => Err(format!("settings: {path} is not a span of time")),
            },
        }
    }

    /// Guards against orders under which nothing could be answered, or sent.
    fn above_zero(&self, path: &str, least: f64) -> Result<(), String> {
        match self.0.pointer(path) {
            None => Ok(()),
            Some(v) if v.as_f64().is_some_and(|n| n >= least && n.is_finite()) => Ok(()),
            Some(v) => Err(format!("settings: {path} is {v}, no number above 0")),
        }
    }

    fn flag(&self, path: &str, absent: bool) -> Result<bool, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(absent),
            Some(Value::Bool(b)) => Ok(*b),
            Some(Value::Number(n)) => Ok(n.as_f64() != Some(0.0)),
            Some(_) => Err(format!("settings: {path} is not true or false")),
        }
    }

    fn word(&self, path: &str, absent: &str) -> Result<String, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(absent.to_string()),
            Some(v) => v
                .as_str()
                .map(str::to_string)
                .ok_or_else(|| format!("settings: {path} is not a word")),
        }
    }

    fn items(&self, path: &str) -> Result<&[Value], String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(&[]),
            Some(v) => v
                .as_array()
                .map(Vec::as_slice)
                .ok_or_else(|| format!("settings: {path} is not a list")),
        }
    }

    fn words(&self, path: &str) -> Result<Vec<String>, String> {
        self.items(path)?
            .iter()
            .map(|v| At(v).word("", ""))
            .collect()
    }
}

fn verb(
    v: &Value,
    zones: &[String],
    own: &str,
    kinds: &mut Vec<String>,
    known_kinds: &[String],
) -> Result<RequestClassConfig, String> {
    let at = At(v);
    let name = at.word("/name", "")?;
    let effect = match at.word("/effect", "")?.as_str() {
        "read_like" => Effect::Safe,
        "idempotency_key" => Effect::Keyed,
        "non_idempotent" => Effect::NonIdempotent,
        other => {
            return Err(format!(
                "settings: verb {name} has the unknown effect '{other}'"
            ));
        }
    };
    let group = match at.word("/key_scope", "all")?.as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        other => {
            return Err(format!(
                "settings: verb {name} has the unknown scope '{other}'"
            ));
        }
    };
    for path in ["/time_limit", "/response_goal"] {
        at.above_zero(path, 1.0)
            .map_err(|fault| format!("{fault} (verb {name})"))?;
    }
    let one_zone = at.flag("/own_zone", false)?;
    let open = match (at.0.get("dcs_open").filter(|v| !v.is_null()), one_zone) {
        (Some(_), true) => {
            return Err(format!(
                "settings: verb {name} has both /own_zone and /dcs_open"
            ));
        }
        (Some(_), false) => Some(
            at.words("/dcs_open")
                .map_err(|fault| format!("{fault} (verb {name})"))?,
        ),
        (None, true) => Some(vec![own.to_string()]),
        (None, false) => None,
    };
    let zone = |zone: &String| {
        let place = if one_zone { "/own_zone" } else { "/dcs_open" };
        let known = zones.iter().position(|z| z == zone);
        known.ok_or_else(|| {
            format!("settings: verb {name}: {place} names the unknown zone '{zone}'")
        })
    };
    let only_zones = open
        .map(|open| open.iter().map(zone).collect::<Result<Vec<_>, _>>())
        .transpose()?;
    let bound = at.0.get("bound_to").filter(|v| !v.is_null());
    let bound = bound.map(|_| {
        at.words("/bound_to")
            .map_err(|fault| format!("{fault} (verb {name})"))
    });
    for (place, empty) in [
        ("/dcs_open", only_zones.as_ref().is_some_and(Vec::is_empty)),
        (
            "/bound_to",
            matches!(&bound, Some(Ok(kinds)) if kinds.is_empty() || kinds.contains(&String::new())),
        ),
    ] {
        if empty {
            return Err(format!(
                "settings: verb {name}: {place} names nothing, so it may run nowhere"
            ));
        }
    }
    let mut kind = |kind: &String| {
        kinds.iter().position(|k| k == kind).unwrap_or_else(|| {
            kinds.push(kind.clone());
            kinds.len() - 1
        })
    };
    // Where the settings name all kinds, one that is not among them is a slip.
    let unknown = |kind: &&String| !known_kinds.is_empty() && !known_kinds.contains(kind);
    if let Some(kind) = bound
        .as_ref()
        .and_then(|b| b.as_ref().ok()?.iter().find(unknown))
    {
        return Err(format!(
            "settings: verb {name}: /bound_to names the unknown kind '{kind}'"
        ));
    }
    let only_kinds = bound
        .transpose()?
        .map(|bound| bound.iter().map(&mut kind).collect());
    let limit = at.span("/time_limit", Duration::from_secs(1))?;
    Ok(RequestClassConfig {
        effect,
        deduplication_scope: group,
        deduplication_window: at.span("/window", Duration::ZERO)?,
        deadline_target: at.span("/response_goal", limit)?,
        time_limit: limit,
        target_per_work: at.number("/aim_stretch", 0.0)?,
        utility: at.number("/utility", 1.0)?,
        late_utility: at.number("/late_utility", 0.0)?,
        stream: at.flag("/stream", false)?,
        allowed_zones: only_zones,
        allowed_kinds: only_kinds,
        name,
    })
}

/// The orders in a settings text.
pub fn config_from_text(seed: u64, text: &str) -> Result<BalancerConfig, String> {
    config_from_value(
        seed,
        &serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?,
    )
}

/// How long an endpoint may take to accept a connection.
pub fn connect_timeout(value: &Value) -> Result<Duration, String> {
    At(value).span("/allowed/connect_timeout", Duration::from_millis(250))
}

/// The orders in a settings object.
pub fn config_from_value(seed: u64, value: &Value) -> Result<BalancerConfig, String> {
    if !value.is_object() {
        return Err("settings: not an object".into());
    }
    let at = At(value);
    let known = at.words("/kinds")?;
    let (zones, own, mut kinds) = (at.words("/dcs")?, at.word("/az", "")?, Vec::new());
    let verbs = at
        .items("/verbs")?
        .iter()
        .map(|v| verb(v, &zones, &own, &mut kinds, &known));
    let verbs = verbs.collect::<Result<Vec<_>, _>>()?;
    if verbs.is_empty() {
        return Err("settings: no verbs".into());
    }
    let twice = |n: usize| {
        verbs[..n]
            .iter()
            .any(|v: &RequestClassConfig| v.name == verbs[n].name)
    };
    if let Some(n) = (0..verbs.len()).find(|n| twice(*n)) {
        return Err(format!("settings: /verbs names '{}' twice", verbs[n].name));
    }
    at.above_zero("/allowed/max_relays", 1.0)?;
    let companies = at.items("/tenants")?.iter().map(|t| {
        let at = At(t);
        Ok(TenantConfig {
            name: at.word("/name", "")?,
            share: at.number("/portion", 0.0)?,
        })
    });
    let weights = at.word("/weights", "silent")?;
    if !["silent", "nominal", "rough", "live"].contains(&weights.as_str()) {
        return Err(format!(
            "settings: /weights is '{weights}', not silent, nominal, rough or live"
        ));
    }
    Ok(BalancerConfig {
        seed,
        own_zone: zones.iter().position(|z| *z == own).unwrap_or(usize::MAX),
        zones,
        kinds,
        classes: verbs,
        tenants: companies.collect::<Result<Vec<_>, String>>()?,
        surplus_utility: at.number("/surplus_utility", 1.0)?,
        objective_total: at.number("/goal/whole", 1.0)?,
        objective_worst_class: at.number("/goal/worst_class", 0.0)?,
        tick: at.span("/tick", Duration::from_millis(1))?,
        max_relays: at.number("/allowed/max_relays", 1.0)? as usize,
        max_retry_after: match at.flag("/allowed/retry_after", false)? {
            true => Some(at.span("/allowed/max_retry_after", Duration::ZERO)?),
            false => None,
        },
        probes_allowed: at.flag("/allowed/probes", false)?,
        cancellation_allowed: at.flag("/allowed/may_cancel", false)?,
        hedging_allowed: at.flag("/allowed/second_copies", false)?,
        list_on_request: at.word("/discovery", "pushed")? == "on_request",
        report_mode: match at.word("/report/how", "silent")?.as_str() {
            "piggyback" => ReportMode::Piggyback,
            "pull" => ReportMode::Pull,
            _ => ReportMode::Silent,
        },
        live_weights: weights == "live",
        warm_keys: at.flag("/domain/warm_keys", false)?,
        probe_price: at.number("/prices/probe", 0.0)?,
        cross_zone_price: at.number("/prices/cross_zone", 0.0)?,
        handshake_price: at.number("/prices/handshake", 0.0)?,
        idle_close: at.span("/allowed/idle_close", Duration::from_secs(60))?,
        streams_per_connection: at.number("/allowed/streams_per_conn", 1.0)? as usize,
        list_poll_interval: at.span("/rules/ask_every", Duration::from_secs(10))?,
        drain_grace: at.span("/rules/drain_grace", Duration::from_millis(500))?,
        cold_capacity: at.number("/rules/cold_from", 1.0)?,
        warm_up_time: at.span("/rules/warm_within", Duration::ZERO)?,
        overload_window: at.span("/rules/tip_after", Duration::from_secs(1))?,
        overload_multiple: at.number("/rules/tip_multiple", 1.0)?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn orders(more: &str) -> Result<BalancerConfig, String> {
        config_from_text(
            7,
            &format!(
                r#"{{"dcs":["a","b"],"az":"b","kinds":["k","m","n"],"verbs":[{{"name":"look","effect":"read_like"}},
                {{"name":"buy","effect":"non_idempotent"{more}}}]}}"#
            ),
        )
    }

    #[rstest]
    #[case::nowhere_named("", None, None)]
    #[case::zones(r#","dcs_open":["b"]"#, Some(vec![1]), None)]
    #[case::own_zone(r#","own_zone":true"#, Some(vec![1]), None)]
    #[case::kinds(r#","bound_to":["m","n"],"own_zone":false"#, None, Some(vec![0, 1]))]
    fn the_places_of_a_verb_are_read(
        #[case] more: &str,
        #[case] zones: Option<Vec<usize>>,
        #[case] kinds: Option<Vec<usize>>,
    ) {
        let verbs = orders(more).unwrap().classes;
        assert_eq!(
            (&verbs[1].allowed_zones, &verbs[1].allowed_kinds),
            (&zones, &kinds)
        );
        assert_eq!(
            (&verbs[0].allowed_zones, &verbs[0].allowed_kinds),
            (&None, &None)
        );
    }

    #[rstest]
    #[case::unknown_zone(r#","dcs_open":["c"]"#, "/dcs_open names the unknown zone 'c'")]
    #[case::unknown_kind(r#","bound_to":["x"]"#, "/bound_to names the unknown kind 'x'")]
    #[case::no_zone(r#","dcs_open":[]"#, "/dcs_open names nothing")]
    #[case::no_kind(r#","bound_to":[]"#, "/bound_to names nothing")]
    #[case::no_list(r#","bound_to":"m""#, "/bound_to is not a list")]
    #[case::no_word(r#","bound_to":[3]"#, "is not a word")]
    #[case::both(r#","dcs_open":["a"],"own_zone":true"#, "both /own_zone and /dcs_open")]
    #[case::no_flag(r#","own_zone":"b""#, "/own_zone is not true or false")]
    fn places_that_can_not_be_are_named(#[case] more: &str, #[case] what: &str) {
        let fault = orders(more).unwrap_err();
        assert!(
            fault.contains(what) && fault.contains("settings: "),
            "{fault}"
        );
    }

    #[rstest]
    fn doors_have_their_own_numbers() {
        let (mut zones, mut kinds) = (
            passroad_choice::interner::Interner::new(),
            passroad_choice::interner::Interner::new(),
        );
        ["b", "x"].iter().for_each(|name| {
            zones.intern(&name.to_string());
        });
        ["k", "n"].iter().for_each(|name| {
            kinds.intern(&name.to_string());
        });
        let mut orders = orders(r#","dcs_open":["a","b"],"bound_to":["m","n"]"#).unwrap();
        orders.intern_names(&mut zones, &mut kinds);
        let verb = &orders.classes[1];
        assert_eq!(
            (orders.own_zone, &verb.allowed_zones, &verb.allowed_kinds),
            (0, &Some(vec![2, 0]), &Some(vec![2, 1]))
        );
    }
}
