//! Builds the balancer configuration from the JSON settings object, for the sidecar and the simulator adapter. Unknown
//! keys are ignored.

use passroad_choice::{
    BalancerConfig, DeduplicationScope, Effect, ReportMode, RequestClassConfig, TenantConfig,
};
use serde_json::Value;
use std::time::Duration;

/// A JSON object with typed access by path. A missing or null value yields the default.
struct Settings<'a>(&'a Value);

impl Settings<'_> {
    fn number(&self, path: &str, default: f64) -> Result<f64, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(default),
            Some(value) => value
                .as_f64()
                .ok_or_else(|| format!("settings: {path} is not a number")),
        }
    }

    fn duration(&self, path: &str, default: Duration) -> Result<Duration, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(default),
            Some(value) if value.is_u64() => {
                Ok(Duration::from_nanos(value.as_u64().unwrap_or_default()))
            }
            Some(value) => match value.as_f64() {
                Some(nanos) if nanos >= 0.0 => Ok(Duration::from_nanos(nanos as u64)),
                _ => Err(format!("settings: {path} is not a duration in nanoseconds")),
            },
        }
    }

    /// Rejects values that would leave no time or no relay for any command. A missing value is valid.
    fn check_minimum(&self, path: &str, minimum: f64) -> Result<(), String> {
        match self.0.pointer(path) {
            None => Ok(()),
            Some(value)
                if value
                    .as_f64()
                    .is_some_and(|n| n >= minimum && n.is_finite()) =>
            {
                Ok(())
            }
            Some(value) => Err(format!(
                "settings: {path} is {value}, expected a number of at least {minimum}"
            )),
        }
    }

    fn boolean(&self, path: &str, default: bool) -> Result<bool, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(default),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(Value::Number(n)) => Ok(n.as_f64() != Some(0.0)),
            Some(_) => Err(format!("settings: {path} is not true or false")),
        }
    }

    fn string(&self, path: &str, default: &str) -> Result<String, String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(default.to_string()),
            Some(value) => value
                .as_str()
                .map(str::to_string)
                .ok_or_else(|| format!("settings: {path} is not a string")),
        }
    }

    fn list(&self, path: &str) -> Result<&[Value], String> {
        match self.0.pointer(path) {
            None | Some(Value::Null) => Ok(&[]),
            Some(value) => value
                .as_array()
                .map(Vec::as_slice)
                .ok_or_else(|| format!("settings: {path} is not a list")),
        }
    }

    fn strings(&self, path: &str) -> Result<Vec<String>, String> {
        self.list(path)?
            .iter()
            .map(|value| Settings(value).string("", ""))
            .collect()
    }
}

fn request_class(
    value: &Value,
    zones: &[String],
    own_zone: &str,
    kinds: &mut Vec<String>,
    known_kinds: &[String],
) -> Result<RequestClassConfig, String> {
    let settings = Settings(value);
    let name = settings.string("/name", "")?;
    let effect = match settings.string("/effect", "")?.as_str() {
        "read_like" => Effect::Safe,
        "idempotency_key" => Effect::Keyed,
        "non_idempotent" => Effect::NonIdempotent,
        other => {
            return Err(format!(
                "settings: /verbs: {name}: unknown effect '{other}'"
            ));
        }
    };
    let deduplication_scope = match settings.string("/key_scope", "all")?.as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        "cell" => DeduplicationScope::Cell,
        other => {
            return Err(format!(
                "settings: /verbs: {name}: unknown key_scope '{other}'"
            ));
        }
    };
    for path in ["/time_limit", "/response_goal"] {
        settings
            .check_minimum(path, 1.0)
            .map_err(|error| format!("{error} (in /verbs: {name})"))?;
    }
    let own_zone_only = settings.boolean("/own_zone", false)?;
    let open_zones = match (
        settings.0.get("dcs_open").filter(|v| !v.is_null()),
        own_zone_only,
    ) {
        (Some(_), true) => {
            return Err(format!(
                "settings: /verbs: {name}: both /own_zone and /dcs_open are set"
            ));
        }
        (Some(_), false) => Some(
            settings
                .strings("/dcs_open")
                .map_err(|error| format!("{error} (in /verbs: {name})"))?,
        ),
        (None, true) => Some(vec![own_zone.to_string()]),
        (None, false) => None,
    };
    let zone_index = |zone: &String| {
        let path = if own_zone_only {
            "/own_zone"
        } else {
            "/dcs_open"
        };
        let known = zones.iter().position(|z| z == zone);
        known.ok_or_else(|| {
            format!("settings: /verbs: {name}: {path} names the unknown zone '{zone}'")
        })
    };
    let allowed_zones = open_zones
        .map(|names| names.iter().map(zone_index).collect::<Result<Vec<_>, _>>())
        .transpose()?;
    let bound_kinds = settings.0.get("bound_to").filter(|v| !v.is_null());
    let bound_kinds = bound_kinds.map(|_| {
        settings
            .strings("/bound_to")
            .map_err(|error| format!("{error} (in /verbs: {name})"))
    });
    for (path, empty) in [
        (
            "/dcs_open",
            allowed_zones.as_ref().is_some_and(Vec::is_empty),
        ),
        (
            "/bound_to",
            matches!(&bound_kinds, Some(Ok(kinds)) if kinds.is_empty() || kinds.contains(&String::new())),
        ),
    ] {
        if empty {
            return Err(format!(
                "settings: /verbs: {name}: {path} names nothing, so no endpoint could run it"
            ));
        }
    }
    let mut kind_index = |kind: &String| {
        kinds.iter().position(|k| k == kind).unwrap_or_else(|| {
            kinds.push(kind.clone());
            kinds.len() - 1
        })
    };
    // If the settings list all kinds, any other kind is a typo.
    let unknown = |kind: &&String| !known_kinds.is_empty() && !known_kinds.contains(kind);
    if let Some(kind) = bound_kinds
        .as_ref()
        .and_then(|kinds| kinds.as_ref().ok()?.iter().find(unknown))
    {
        return Err(format!(
            "settings: /verbs: {name}: /bound_to names the unknown kind '{kind}'"
        ));
    }
    let allowed_kinds = bound_kinds
        .transpose()?
        .map(|names| names.iter().map(&mut kind_index).collect());
    let time_limit = settings.duration("/time_limit", Duration::from_secs(1))?;
    Ok(RequestClassConfig {
        effect,
        deduplication_scope,
        deduplication_window: settings.duration("/window", Duration::ZERO)?,
        deadline_target: settings.duration("/response_goal", time_limit)?,
        time_limit,
        target_per_work: settings.number("/aim_stretch", 0.0)?,
        utility: settings.number("/utility", 1.0)?,
        late_utility: settings.number("/late_utility", 0.0)?,
        stream: settings.boolean("/stream", false)?,
        allowed_zones,
        allowed_kinds,
        name,
    })
}

/// Parses a settings text.
pub fn config_from_text(seed: u64, text: &str) -> Result<BalancerConfig, String> {
    config_from_value(
        seed,
        &serde_json::from_str(text).map_err(|e| format!("settings: {e}"))?,
    )
}

/// How long an endpoint may take to accept a connection.
pub fn connect_timeout(settings: &Value) -> Result<Duration, String> {
    Settings(settings).duration("/allowed/connect_timeout", Duration::from_millis(250))
}

/// Builds the configuration from a settings object. `seed` seeds the random draws of the balancer.
pub fn config_from_value(seed: u64, settings: &Value) -> Result<BalancerConfig, String> {
    if !settings.is_object() {
        return Err("settings: not an object".into());
    }
    let settings = Settings(settings);
    let known_kinds = settings.strings("/kinds")?;
    let (zones, own_zone, mut kinds) = (
        settings.strings("/dcs")?,
        settings.string("/az", "")?,
        Vec::new(),
    );
    let classes = settings
        .list("/verbs")?
        .iter()
        .map(|class| request_class(class, &zones, &own_zone, &mut kinds, &known_kinds));
    let classes = classes.collect::<Result<Vec<_>, _>>()?;
    if classes.is_empty() {
        return Err("settings: no verbs".into());
    }
    let is_duplicate = |n: usize| {
        classes[..n]
            .iter()
            .any(|class: &RequestClassConfig| class.name == classes[n].name)
    };
    if let Some(n) = (0..classes.len()).find(|n| is_duplicate(*n)) {
        return Err(format!(
            "settings: /verbs lists '{}' twice",
            classes[n].name
        ));
    }
    settings.check_minimum("/allowed/max_relays", 1.0)?;
    let tenants = settings.list("/tenants")?.iter().map(|tenant| {
        let tenant = Settings(tenant);
        Ok(TenantConfig {
            name: tenant.string("/name", "")?,
            share: tenant.number("/portion", 0.0)?,
        })
    });
    let weights = settings.string("/weights", "silent")?;
    if !["silent", "nominal", "rough", "live"].contains(&weights.as_str()) {
        return Err(format!(
            "settings: /weights is '{weights}', expected silent, nominal, rough or live"
        ));
    }
    Ok(BalancerConfig {
        seed,
        own_zone: zones
            .iter()
            .position(|zone| *zone == own_zone)
            .unwrap_or(usize::MAX),
        zones,
        kinds,
        classes,
        tenants: tenants.collect::<Result<Vec<_>, String>>()?,
        surplus_utility: settings.number("/surplus_utility", 1.0)?,
        objective_total: settings.number("/goal/whole", 1.0)?,
        objective_worst_class: settings.number("/goal/worst_class", 0.0)?,
        tick: settings.duration("/tick", Duration::from_millis(1))?,
        max_relays: settings.number("/allowed/max_relays", 1.0)? as usize,
        max_retry_after: match settings.boolean("/allowed/retry_after", false)? {
            true => Some(settings.duration("/allowed/max_retry_after", Duration::ZERO)?),
            false => None,
        },
        probes_allowed: settings.boolean("/allowed/probes", false)?,
        cancellation_allowed: settings.boolean("/allowed/may_cancel", false)?,
        hedging_allowed: settings.boolean("/allowed/second_copies", false)?,
        list_on_request: settings.string("/discovery", "pushed")? == "on_request",
        report_mode: match settings.string("/report/how", "silent")?.as_str() {
            "piggyback" => ReportMode::Piggyback,
            "pull" => ReportMode::Pull,
            _ => ReportMode::Silent,
        },
        live_weights: weights == "live",
        warm_keys: settings.boolean("/domain/warm_keys", false)?,
        probe_price: settings.number("/prices/probe", 0.0)?,
        cross_zone_price: settings.number("/prices/cross_zone", 0.0)?,
        handshake_price: settings.number("/prices/handshake", 0.0)?,
        idle_close: settings.duration("/allowed/idle_close", Duration::from_secs(60))?,
        streams_per_connection: settings.number("/allowed/streams_per_conn", 1.0)? as usize,
        list_poll_interval: settings.duration("/rules/ask_every", Duration::from_secs(10))?,
        drain_grace: settings.duration("/rules/drain_grace", Duration::from_millis(500))?,
        cold_capacity: settings.number("/rules/cold_from", 1.0)?,
        warm_up_time: settings.duration("/rules/warm_within", Duration::ZERO)?,
        overload_window: settings.duration("/rules/tip_after", Duration::from_secs(1))?,
        overload_multiple: settings.number("/rules/tip_multiple", 1.0)?,
    })
}

#[cfg(test)]
mod tests;
