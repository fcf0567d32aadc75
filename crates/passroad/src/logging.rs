//! Log lines: text, or JSON with the values of a line as separate fields.

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;

/// Initializes logging. Text lines have the form that the on-call page quotes; a line's separate values appear in JSON
/// only.
pub fn init(as_json: bool) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    if as_json {
        builder.format(|out, record| {
            writeln!(
                out,
                "{}",
                json_line(&out.timestamp_millis().to_string(), record)
            )
        });
    } else {
        builder.format_key_values(|_, _| Ok(()));
    }
    builder.init();
}

fn json_line(time: &str, record: &log::Record) -> serde_json::Value {
    let mut values = Values(Map::new());
    // A value that can't be converted is left out; the line is still written.
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
mod tests;
