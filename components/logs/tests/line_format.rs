//! The format of a log line.

use log::{Level, Record};
use sk_logs::write_line;

/// Guards against lines that are not one JSON object, which cannot be searched by key. A caller's
/// identifier may hold quotes and line feeds.
#[test]
fn line_is_one_json_object() {
    let pairs = [("attempt", "a\"b\n"), ("status", "503")];
    let mut out = Vec::new();
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("proxy: answered."))
        .key_values(&pairs)
        .build();
    write_line(&mut out, &record).expect("a vector accepts all bytes");
    let text = String::from_utf8(out).expect("text");
    assert_eq!(text.matches('\n').count(), 1);
    let line: serde_json::Value = serde_json::from_str(&text).expect("one object");
    assert_eq!(line["msg"], "proxy: answered.");
    assert_eq!((&line["attempt"], &line["level"]), (&"a\"b\n".into(), &"WARN".into()));
    assert!(line["ts"].as_u64().is_some());
}
