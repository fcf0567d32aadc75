//! Log lines: text for people, or JSON with the values of a line apart.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;

/// Text lines stay as the on-call page has them: values that a line carries beside its text show in JSON only.
pub fn begin(as_json: bool) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    if as_json {
        builder.format(|out, record| {
            writeln!(out, "{}", line(&out.timestamp_millis().to_string(), record))
        });
    } else {
        builder.format_key_values(|_, _| Ok(()));
    }
    builder.init();
}

fn line(time: &str, record: &log::Record) -> serde_json::Value {
    let mut values = Values(Map::new());
    // A value that can't be written is left out; its line is not.
    let _ = record.key_values().visit(&mut values);
    let mut object = values.0;
    object.insert("time".into(), json!(time));
    object.insert("level".into(), json!(record.level().as_str()));
    object.insert("target".into(), json!(record.target()));
    object.insert("message".into(), json!(record.args().to_string()));
    object.into()
}

struct Values(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Values {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value
            .to_u64()
            .map(|n| json!(n))
            .or_else(|| value.to_f64().map(|n| json!(n)));
        self.0.insert(
            key.as_str().into(),
            number.unwrap_or_else(|| json!(value.to_string())),
        );
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    #[rstest]
    fn a_line_of_json_keeps_text_and_values_apart() {
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
        let text = line("now", &record).to_string();
        assert_eq!(text.lines().count(), 1);
        let read: serde_json::Value = serde_json::from_str(&text).unwrap();
        assert_eq!(
            (&read["endpoint"], &read["id"]),
            (&json!(7), &json!("e \"7\"\n"))
        );
        assert_eq!(
            (&read["message"], &read["level"]),
            (&json!("endpoint 7 is up"), &json!("INFO"))
        );
    }
}
