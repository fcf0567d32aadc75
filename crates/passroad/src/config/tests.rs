use super::*;
use rstest::rstest;

const SETTINGS: &str = r#"{"verbs":[{"name":"v","effect":"read_like"}]}"#;

#[rstest]
#[case(r#""listen":"127.0.0.1:1","discovery":"127.0.0.1:2","#, Ok(("n7", 1)))]
#[case(r#""name":"n8","discovery":"127.0.0.1:2","#, Ok(("n8", 9)))]
#[case(
    r#""listen":"127.0.0.1:1","#,
    Err("no address: LB_DISCOVERY is not set either")
)]
fn variables_stand_in_for_what_the_file_leaves_out(
    #[case] fields: &str,
    #[case] expected: Result<(&str, u16), &str>,
) {
    let text = format!(r#"{{{fields}"seed":"0f","settings":{SETTINGS}}}"#);
    let variable = |name: &str| match name {
        "LB_NAME" => Some("n7".to_string()),
        "LB_LISTEN" => Some("127.0.0.1:9".to_string()),
        _ => None,
    };
    let config = parse(text.as_bytes(), variable);
    let read = config
        .as_ref()
        .map(|s| (s.name.as_str(), s.listen.port()))
        .map_err(String::as_str);
    assert_eq!(
        (read, config.as_ref().ok().map(|s| s.max_sockets)),
        (expected, expected.ok().map(|_| 1024))
    );
}
