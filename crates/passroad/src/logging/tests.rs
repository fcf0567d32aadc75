use super::*;
use rstest::rstest;

#[rstest]
fn a_json_line_has_text_and_values_in_separate_fields() {
    let values = [
        ("endpoint", Value::from(7u64)),
        ("id", Value::from("e \"7\"\n")),
    ];
    let source: &[(&str, Value)] = &values;
    let args = format_args!("endpoint {} is up", 7);
    let record = log::Record::builder()
        .args(args)
        .level(log::Level::Info)
        .key_values(&source)
        .build();
    let text = json_line("now", &record).to_string();
    assert_eq!(text.lines().count(), 1);
    let parsed: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (&parsed["endpoint"], &parsed["id"]),
        (&json!(7), &json!("e \"7\"\n"))
    );
    assert_eq!(
        (&parsed["message"], &parsed["level"]),
        (&json!("endpoint 7 is up"), &json!("INFO"))
    );
}
