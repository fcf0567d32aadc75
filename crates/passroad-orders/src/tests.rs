use super::*;
use rstest::rstest;

/// Two classes; the second has the given extra JSON fields.
fn config_with(fields: &str) -> Result<BalancerConfig, String> {
    config_from_text(
        7,
        &format!(
            r#"{{"dcs":["a","b"],"az":"b","kinds":["k","m","n"],"verbs":[{{"name":"look","effect":"read_like"}},
            {{"name":"buy","effect":"non_idempotent"{fields}}}]}}"#
        ),
    )
}

#[rstest]
#[case::unrestricted("", None, None)]
#[case::zones(r#","dcs_open":["b"]"#, Some(vec![1]), None)]
#[case::own_zone(r#","own_zone":true"#, Some(vec![1]), None)]
#[case::kinds(r#","bound_to":["m","n"],"own_zone":false"#, None, Some(vec![0, 1]))]
fn allowed_zones_and_kinds_of_a_class_are_read(
    #[case] fields: &str,
    #[case] zones: Option<Vec<usize>>,
    #[case] kinds: Option<Vec<usize>>,
) {
    let classes = config_with(fields).unwrap().classes;
    assert_eq!(
        (&classes[1].allowed_zones, &classes[1].allowed_kinds),
        (&zones, &kinds)
    );
    assert_eq!(
        (&classes[0].allowed_zones, &classes[0].allowed_kinds),
        (&None, &None)
    );
}

#[rstest]
#[case::unknown_zone(r#","dcs_open":["c"]"#, "/dcs_open names the unknown zone 'c'")]
#[case::unknown_kind(r#","bound_to":["x"]"#, "/bound_to names the unknown kind 'x'")]
#[case::no_zone(r#","dcs_open":[]"#, "/dcs_open names nothing")]
#[case::no_kind(r#","bound_to":[]"#, "/bound_to names nothing")]
#[case::not_a_list(r#","bound_to":"m""#, "/bound_to is not a list")]
#[case::not_a_string(r#","bound_to":[3]"#, "is not a string")]
#[case::both(r#","dcs_open":["a"],"own_zone":true"#, "both /own_zone and /dcs_open")]
#[case::not_a_boolean(r#","own_zone":"b""#, "/own_zone is not true or false")]
fn invalid_zones_and_kinds_are_named_in_the_error(#[case] fields: &str, #[case] expected: &str) {
    let error = config_with(fields).unwrap_err();
    assert!(
        error.contains(expected) && error.contains("settings: "),
        "{error}"
    );
}

#[rstest]
fn interned_zones_and_kinds_replace_positions() {
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
    let mut config = config_with(r#","dcs_open":["a","b"],"bound_to":["m","n"]"#).unwrap();
    config.intern_names(&mut zones, &mut kinds);
    let class = &config.classes[1];
    assert_eq!(
        (config.own_zone, &class.allowed_zones, &class.allowed_kinds),
        (0, &Some(vec![2, 0]), &Some(vec![2, 1]))
    );
}
