//! Daemons with the settings that the platform makes from `deploy/daemon.toml`.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{TestDirectory, TestProcess, own_address};

/// Path of the template.
const TEMPLATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/daemon.toml");

/// Returns the fields that the platform fills in for a daemon, with the bounds of a deployment.
pub fn deployment_fields(
    name: &str,
    service: &str,
    server: Option<SocketAddr>,
    store: SocketAddr,
    bounds: Value,
) -> Value {
    let host = own_address().ip();
    let listen = |port: u16| format!("{host}:{port}");
    json!({
        "node_name": name,
        "ip_address": host.to_string(),
        "zone": "a",
        "region": "r",
        "listen_addresses": {
            "inbound": listen(8624),
            "outbound": listen(8629),
            "ready": listen(8625),
            "control_address": listen(8620),
        },
        "internal_port_range": [7600, 7615],
        "seed_nodes": [],
        "heartbeat_interval": 1500,
        "bounds": bounds,
        "application": server.map(|address| address.to_string()),
        "service": service,
        "platform": { "address": store.to_string(), "form": "objects" },
    })
}

/// Returns the daemon's settings for the platform's fields.
pub fn render_settings(fields: &Value) -> String {
    render(&std::fs::read_to_string(TEMPLATE).expect("the template"), fields, fields)
}

/// Starts a daemon with the settings for the platform's fields.
pub fn start_deployed_daemon(directory: &TestDirectory, fields: &Value) -> TestProcess {
    let file = format!("{}.toml", fields["node_name"].as_str().expect("a name"));
    directory.write(&file, &render_settings(fields));
    let file = directory.0.join(file);
    let (program, file) = (env!("CARGO_BIN_EXE_sapphirekeeld"), file.to_str().expect("path"));
    tokio::task::block_in_place(|| TestProcess::start(program, &[file]))
}

/// Fills in a template of the platform: values, sections, and sections for what is absent.
fn render(template: &str, fields: &Value, current: &Value) -> String {
    let Some((before, rest)) = template.split_once("{{") else { return template.to_owned() };
    let (tag, rest) = rest.split_once("}}").expect("a closed placeholder");
    let (text, rest) = match tag.split_at(1) {
        (kind @ ("#" | "^"), name) => {
            let end = format!("{{{{/{name}}}}}");
            let (section, rest) = rest.split_once(&end).expect("a closed section");
            let value = find(name, fields, current);
            let is_shown = !matches!(value, Value::Null | Value::Bool(false));
            let text = match (kind, value) {
                ("#", Value::Array(entries)) => {
                    entries.iter().map(|entry| render(section, fields, entry)).collect()
                }
                ("#", value) if is_shown => render(section, fields, value),
                ("^", _) if !is_shown => render(section, fields, current),
                _ => String::new(),
            };
            (text, rest)
        }
        _ => match find(tag, fields, current) {
            Value::String(text) => (text.clone(), rest),
            Value::Null => (String::new(), rest),
            value => (value.to_string(), rest),
        },
    };
    format!("{before}{text}{}", render(rest, fields, current))
}

/// Finds a value by its name: `.` for the current one, `a.b` and `a.0` for parts.
fn find<'a>(name: &str, fields: &'a Value, current: &'a Value) -> &'a Value {
    match name {
        "." => current,
        _ => fields.pointer(&format!("/{}", name.replace('.', "/"))).unwrap_or(&Value::Null),
    }
}
