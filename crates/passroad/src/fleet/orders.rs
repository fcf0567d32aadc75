//! The fleet's file and what the configuration says of the other sidecars.

use hyper::Uri;
use passroad_units::{ConfigError, HumanDuration, Ratio, line_number};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

const SHORTEST_LEASE: Duration = Duration::from_millis(200);
const LONGEST_LEASE: Duration = Duration::from_secs(60);
const MOST_VOTERS: usize = 7;
const MOST_DUTIES: usize = 8;
/// Behind the end of a call its lease has this part left.
const MARGIN: u32 = 20;

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Text {
    #[serde(default = "lease")]
    lease: Spanned<HumanDuration>,
    #[serde(default = "period")]
    period: Spanned<HumanDuration>,
    #[serde(default = "voters")]
    voters: Spanned<usize>,
    #[serde(default)]
    state: Option<Spanned<String>>,
    #[serde(default)]
    duty: Vec<Spanned<Duty>>,
    #[serde(default)]
    upkeep: Option<Spanned<Upkeep>>,
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Upkeep {
    #[serde(default = "one")]
    at_once: usize,
    #[serde(default = "one")]
    at_once_in_a_zone: usize,
    #[serde(default)]
    at_once_in_a_cell: Option<usize>,
    #[serde(default = "reserve")]
    reserve: Ratio,
    #[serde(default)]
    warm: Option<HumanDuration>,
}

fn one() -> usize {
    1
}
fn reserve() -> Ratio {
    Ratio(0.1)
}

#[derive(Deserialize, Debug)]
#[serde(deny_unknown_fields)]
struct Duty {
    name: Spanned<String>,
    every: Spanned<HumanDuration>,
    call: Spanned<String>,
    #[serde(default)]
    within: Option<Spanned<HumanDuration>>,
}

fn lease() -> Spanned<HumanDuration> {
    Spanned::new(0..0, HumanDuration(Duration::from_secs(3)))
}
fn period() -> Spanned<HumanDuration> {
    Spanned::new(0..0, HumanDuration(Duration::from_secs(1)))
}
fn voters() -> Spanned<usize> {
    Spanned::new(0..0, 5)
}

/// What the fleet's file comes to.
#[derive(Debug, Clone)]
pub struct FleetOrders {
    pub lease: Duration,
    pub period: Duration,
    pub voters: usize,
    pub state: Option<PathBuf>,
    pub duties: Vec<DutyOrder>,
    /// Machines out for work, where the file asks for it.
    pub upkeep: Option<UpkeepOrder>,
}

/// What may be out for work at once.
#[derive(Debug, Clone)]
pub struct UpkeepOrder {
    pub at_once: usize,
    pub at_once_in_a_zone: usize,
    pub at_once_in_a_cell: usize,
    pub reserve: f64,
    /// How long a machine takes to be warm; by the settings where the file says nothing.
    pub warm: Duration,
}

/// The duty whose owner conducts the order of work.
pub const UPKEEP: &str = "upkeep";

#[derive(Debug, Clone)]
pub struct DutyOrder {
    pub name: String,
    pub mark: u64,
    pub every: Duration,
    /// None of the duty whose owner conducts the order of work.
    pub call: Option<Uri>,
    /// A call ends by then, which is before any lease does that it began in.
    pub within: Duration,
}

/// Where this sidecar stands among the others.
#[derive(Debug, Clone)]
pub struct Place {
    pub name: String,
    pub me: u16,
    pub listen: SocketAddr,
    pub peers: Vec<SocketAddr>,
    pub may_talk: bool,
}

impl Place {
    /// From the whole configuration.
    pub fn of(name: &str, told: &serde_json::Value) -> Result<Place, String> {
        let at = |path: &str| told.pointer(path).filter(|v| !v.is_null());
        let address =
            |v: &serde_json::Value, key: &str| match v.as_str().map(str::parse::<SocketAddr>) {
                Some(Ok(address)) => Ok(address),
                _ => Err(format!("{key}: {v} is no address")),
            };
        let listen =
            at("/peer_listen").ok_or("peer_listen is missing, and the fleet's file needs it")?;
        let listen = address(listen, "peer_listen")?;
        let peers = at("/peers").and_then(serde_json::Value::as_array);
        let peers = peers.ok_or("peers: no list, and the fleet's file needs it")?;
        let peers = peers
            .iter()
            .map(|v| address(v, "peers"))
            .collect::<Result<Vec<_>, _>>()?;
        if let Some(twice) = (1..peers.len()).find(|n| peers[..*n].contains(&peers[*n])) {
            return Err(format!("peers: {} is there twice", peers[twice]));
        }
        let me = match at("/settings/my_number").map(|v| (v, v.as_u64())) {
            Some((_, Some(me))) if (me as usize) < peers.len() => me as u16,
            Some((v, _)) => return Err(format!("settings: /my_number: {v} is no place in peers")),
            None => match peers.iter().position(|peer| *peer == listen) {
                Some(me) => me as u16,
                None => {
                    return Err(
                        "settings: /my_number is missing, and peer_listen is not in peers".into(),
                    );
                }
            },
        };
        if peers.len() > 8000 {
            return Err(format!("peers: {}, over 8000", peers.len()));
        }
        let may_talk = match at("/settings/allowed/may_tell") {
            None => false,
            Some(v) => v
                .as_bool()
                .ok_or("settings: /allowed/may_tell is not true or false")?,
        };
        Ok(Place {
            name: name.into(),
            me,
            listen,
            peers,
            may_talk,
        })
    }
}

/// Reads the fleet's file; what is wrong is named by its line.
pub fn read(text: &str) -> Result<FleetOrders, ConfigError> {
    let told: Text = toml::from_str(text)
        .map_err(|e| ConfigError::from_parser(text, e.span().map(|s| s.start), e.message()))?;
    let wrong = |at: usize, what: String| {
        Err(ConfigError {
            line: line_number(text, at),
            message: what,
        })
    };
    let lease = told.lease.get_ref().0;
    if !(SHORTEST_LEASE..=LONGEST_LEASE).contains(&lease) {
        return wrong(told.lease.span().start, "lease: from 200ms to 60s".into());
    }
    let period = told.period.get_ref().0;
    if !(Duration::from_millis(100)..=LONGEST_LEASE).contains(&period) {
        return wrong(told.period.span().start, "period: from 100ms to 60s".into());
    }
    let voters = *told.voters.get_ref();
    if voters > MOST_VOTERS || voters.is_multiple_of(2) {
        return wrong(
            told.voters.span().start,
            format!("voters: {voters} is not 1, 3, 5 or 7"),
        );
    }
    if told
        .state
        .as_ref()
        .is_some_and(|state| state.get_ref().is_empty())
    {
        return wrong(
            told.state.map_or(0, |s| s.span().start),
            "state: names no file".into(),
        );
    }
    if told.duty.len() > MOST_DUTIES {
        return wrong(
            told.duty[MOST_DUTIES].span().start,
            format!("duty: more than {MOST_DUTIES}"),
        );
    }
    let mut duties: Vec<DutyOrder> = Vec::new();
    for spanned in &told.duty {
        let duty = spanned.get_ref();
        let name = duty.name.get_ref().clone();
        let odd = name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
        if odd || name == UPKEEP || duties.iter().any(|known| known.name == name) {
            let at = duty.name.span().start;
            return wrong(
                at,
                format!("name: '{name}' is taken, or not of letters, digits and -"),
            );
        }
        let every = duty.every.get_ref().0;
        if every < Duration::from_millis(1) {
            return wrong(
                duty.every.span().start,
                "every: a millisecond at least".into(),
            );
        }
        let call = duty.call.get_ref();
        let uri = call.parse::<Uri>().ok().filter(|uri| {
            uri.scheme_str() == Some("http")
                && uri
                    .host()
                    .is_some_and(|host| host.parse::<std::net::IpAddr>().is_ok())
        });
        let Some(uri) = uri else {
            let at = duty.call.span().start;
            return wrong(
                at,
                format!("call: '{call}' is no http://ADDRESS:PORT/PATH (names are not looked up)"),
            );
        };
        // What is out when the lease ends must have ended: from the last renewal a third of the lease may have passed.
        let most = lease.mul_f64(0.95 * 2.0 / 3.0) - lease / MARGIN;
        let within = match &duty.within {
            None => most.min(Duration::from_secs(5)),
            Some(told) if told.get_ref().0.is_zero() || told.get_ref().0 > most => {
                let at = told.span().start;
                return wrong(
                    at,
                    format!(
                        "within: more than nothing and at most {most:?}, by the lease of {lease:?}"
                    ),
                );
            }
            Some(told) => told.get_ref().0,
        };
        let mark = passroad_choice::interner::stable_hash(&name);
        duties.push(DutyOrder {
            name,
            mark,
            every,
            call: Some(uri),
            within,
        });
    }
    let upkeep = match &told.upkeep {
        None => None,
        Some(told) => {
            let (at, told) = (told.span().start, told.get_ref());
            let nought = told.at_once == 0
                || told.at_once_in_a_zone == 0
                || told.at_once_in_a_cell == Some(0);
            if nought || told.reserve.0 > 0.9 {
                return wrong(
                    at,
                    "upkeep: at_once, in a zone and in a cell from 1, reserve to 90%".into(),
                );
            }
            let (within, every) = (Duration::MAX, Duration::MAX);
            let mark = passroad_choice::interner::stable_hash(UPKEEP);
            duties.push(DutyOrder {
                name: UPKEEP.into(),
                mark,
                every,
                call: None,
                within,
            });
            Some(UpkeepOrder {
                at_once: told.at_once,
                at_once_in_a_zone: told.at_once_in_a_zone,
                at_once_in_a_cell: told.at_once_in_a_cell.unwrap_or(told.at_once),
                reserve: told.reserve.0,
                warm: told.warm.unwrap_or_default().0,
            })
        }
    };
    let state = told.state.map(|state| PathBuf::from(state.into_inner()));
    Ok(FleetOrders {
        lease,
        period,
        voters,
        state,
        duties,
        upkeep,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use serde_json::json;

    const DUTY: &str =
        "[[duty]]\nname = \"sweep\"\nevery = \"1s\"\ncall = \"http://127.0.0.1:9/x\"\n";

    #[rstest]
    #[case::unknown(format!("speed = 1\n{DUTY}"), 1, "speed: unknown field")]
    #[case::no_unit("lease = \"3\"\n".into(), 1, "has no unit")]
    #[case::short("\nlease = \"20ms\"\n".into(), 2, "lease: from 200ms")]
    #[case::even("voters = 4\n".into(), 1, "voters: 4 is not 1, 3, 5 or 7")]
    #[case::no_file("state = \"\"\n".into(), 1, "state: names no file")]
    #[case::twice(format!("{DUTY}{DUTY}"), 6, "name: 'sweep' is taken")]
    #[case::name_of_a_host(DUTY.replace("127.0.0.1", "db"), 4, "names are not looked up")]
    #[case::long_call(format!("lease = \"1s\"\n{DUTY}within = \"900ms\"\n"), 6, "within: more than nothing")]
    fn a_slip_is_named_with_its_line(
        #[case] text: String,
        #[case] line: usize,
        #[case] what: &str,
    ) {
        let wrong = read(&text).unwrap_err();
        assert!(
            wrong.line == line && wrong.message.contains(what),
            "{wrong}"
        );
    }

    #[rstest]
    fn the_sample_can_be_used() {
        let orders = read(include_str!("../../../../deploy/fleet.toml")).unwrap();
        assert_eq!(orders.duties.len(), 1);
    }

    #[rstest]
    fn what_is_left_out_is_usual() {
        let orders = read(DUTY).unwrap();
        assert_eq!((orders.lease, orders.voters), (Duration::from_secs(3), 5));
        assert!(orders.duties[0].within < orders.lease * 2 / 3);
    }

    #[rstest]
    #[case::whole(json!({}), "")]
    #[case::no_listen(json!({"peer_listen": null}), "peer_listen is missing")]
    #[case::no_peers(json!({"peers": 3}), "peers: no list")]
    #[case::no_address(json!({"peers": ["a"]}), "peers: \"a\" is no address")]
    #[case::twice(json!({"peers": ["127.0.0.1:1", "127.0.0.1:1"]}), "there twice")]
    #[case::no_place(json!({"settings": {"my_number": 2}}), "2 is no place in peers")]
    #[case::not_among_them(json!({"settings": {}}), "/my_number is missing")]
    #[case::odd_flag(json!({"settings": {"my_number": 0, "allowed": {"may_tell": 3}}}), "may_tell is not")]
    fn the_place_among_the_others_is_checked(#[case] over: serde_json::Value, #[case] what: &str) {
        let mut told = json!({
            "peer_listen": "127.0.0.1:9", "peers": ["127.0.0.1:1", "127.0.0.1:2"],
            "settings": {"my_number": 1, "allowed": {"may_tell": true}},
        });
        for (key, value) in over.as_object().unwrap() {
            told[key] = value.clone();
        }
        match Place::of("n", &told) {
            Ok(place) => assert_eq!((what, place.me, place.may_talk), ("", 1, true)),
            Err(fault) => assert!(!what.is_empty() && fault.contains(what), "{fault}"),
        }
    }
}
