//! Formats a log record as one line of JSON.

use std::{
    io::{self, Write},
    time::{SystemTime, UNIX_EPOCH},
};

use log::{
    Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, Value as JsonValue, json};

/// Copies key-values into a JSON object; numbers and booleans keep their types.
struct FieldVisitor<'a>(&'a mut Map<String, JsonValue>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), ..) => json!(number),
            (_, Some(number), _) => json!(number),
            (.., Some(boolean)) => json!(boolean),
            _ => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writes a record as a JSON object followed by a line feed.
///
/// # Errors
///
/// Returns the error of the writer.
pub fn write_line(out: &mut impl Write, record: &Record<'_>) -> io::Result<()> {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("ts".to_owned(), json!(unix_time.as_millis() as u64));
    fields.insert("level".to_owned(), json!(record.level().as_str()));
    fields.insert("msg".to_owned(), json!(record.args().to_string()));
    // Visiting key-values that are in memory cannot fail.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    serde_json::to_writer(&mut *out, &fields)?;
    out.write_all(b"\n")
}
