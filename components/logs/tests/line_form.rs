//! What a line looks like.

use log::{Level, Record};
use sk_logs::write_line;

/// A line that is not one JSON object cannot be searched by key, and a caller's id with a quote in
/// it must not make it so.
#[test]
fn one_object() {
    let pairs = [("attempt", "a\"b\n"), ("status", "503")];
    let mut out = Vec::new();
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("proxy: answered."))
        .key_values(&pairs)
        .build();
    write_line(&mut out, &record).expect("a vector takes all");
    let text = String::from_utf8(out).expect("text");
    assert_eq!(text.matches('\n').count(), 1);
    let line: serde_json::Value = serde_json::from_str(&text).expect("one object");
    assert_eq!(line["msg"], "proxy: answered.");
    assert_eq!((&line["attempt"], &line["level"]), (&"a\"b\n".into(), &"WARN".into()));
    assert!(line["ts"].as_u64().is_some());
}
