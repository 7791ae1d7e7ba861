//! Log lines name components and changes, and contain no tokens, secrets or bodies of settings.

mod common;

use common::{
    MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, platform_address, render_output,
    run_cli, start_platform,
};

const SECRET: &str = "secret of the log test";
const BODY_TEXT: &str = "text that only the body contains";
/// Prefixes that a log line may have.
const COMPONENTS: [&str; 9] =
    ["daemon", "ops", "ledger", "spread", "proxy", "store", "member", "report", "claim"];

/// Starts a daemon that logs at all levels.
fn start_logging(directory: &TestDirectory, platform: &str) -> TestProcess {
    let listen = ["proxy", "guard", "control", "ops"].map(|key| format!("{key} = \"127.0.0.1:0\""));
    directory.write(
        "daemon.toml",
        &format!(
            "[instance]\nname = \"d1\"\ndata_centre = \"lj1\"\nregion = \"slovenia\"\n\
             [listen]\n{}\n[platform]\naddress = \"{platform}\"\n[peers]\nsecret = \"{SECRET}\"\n\
             [operators]\nmanager_sha256 = \"{}\"\n",
            listen.join("\n"),
            sk_ops::hash_token(MANAGER_TOKEN)
        ),
    );
    let levels = COMPONENTS.map(|part| format!("sk_{part}=trace")).join(",");
    let folder = directory.0.display();
    let program = env!("CARGO_BIN_EXE_sapphirekeeld");
    // `exec` replaces the shell by the daemon, so that signals reach the daemon.
    let command = format!("RUST_LOG={levels} exec {program} {folder}/daemon.toml");
    TestProcess::start("sh", &["-c", &command])
}

#[test]
fn no_secrets() {
    let directory = TestDirectory::new("no_secrets");
    let platform = start_platform();
    let daemon = start_logging(&directory, &platform_address(&platform));
    let ops = daemon.address("ops");
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let output = run_cli(&ops, MANAGER_TOKEN, &["team", "ledvica", "--token-sha256", &hash]);
    assert!(output.status.success(), "{}", render_output(&output));
    directory.write("good/ledvica/v.toml", &format!("kind = \"value\"\ntext = \"{BODY_TEXT}\"\n"));
    let route = format!("kind = \"route\"\nprefix = \"/{BODY_TEXT}\"\nservice = \"/ledvica/no\"\n");
    directory.write("bad/ledvica/r.toml", &route);
    for (name, token, code) in
        [("good", TEAM_TOKEN, 0), ("bad", TEAM_TOKEN, 1), ("bad", "wrong token", 1)]
    {
        let declared = directory.0.join(name);
        let args = ["apply", declared.to_str().expect("path"), "--change-id"];
        let by = ["--revision", "r", "--author", "ana"];
        let output = run_cli(&ops, token, &[&args[..], &[&format!("change-{name}")], &by].concat());
        assert_eq!(output.status.code(), Some(code), "{name}: {}", render_output(&output));
    }
    let (status, log) = daemon.terminate();
    assert!(status.success());
    let messages: Vec<String> = log.lines().map(message_of).collect();
    let joined = messages.join("\n");
    assert!(joined.contains("ops: change change-good is version 1."), "{log}");
    assert!(joined.contains("ops: change \"change-bad\" ended with status 422."), "{log}");
    let hashes = [hash, sk_ops::hash_token(MANAGER_TOKEN)];
    let secrets = [SECRET, BODY_TEXT, TEAM_TOKEN, MANAGER_TOKEN, "wrong token"];
    for secret in secrets.into_iter().chain(hashes.iter().map(String::as_str)) {
        assert!(!log.contains(secret), "{secret}: {log}");
    }
    for message in &messages {
        let part = message.split_once(": ").map(|(part, _)| part);
        assert!(part.is_some_and(|part| COMPONENTS.contains(&part)), "{message}");
    }
}

/// Returns the message of a log line, which is one JSON object.
fn message_of(line: &str) -> String {
    let line: serde_json::Value = serde_json::from_str(line).expect("a line is one object");
    line["msg"].as_str().expect("a line has a message").to_owned()
}
