//! Logs name parts and changes, and hold no token and nothing of what settings say.

mod common;

use common::{
    MANAGER_TOKEN, TEAM_TOKEN, TestDirectory, TestProcess, operate, platform_address, render,
    start_platform,
};

const SECRET: &str = "secret of the log test";
const BODY_WORDS: &str = "words that only the body holds";
const PARTS: [&str; 9] =
    ["daemon", "ops", "ledger", "spread", "proxy", "store", "member", "report", "claim"];

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
    let levels = PARTS.map(|part| format!("sk_{part}=trace")).join(",");
    let place = directory.0.display();
    let program = env!("CARGO_BIN_EXE_sapphirekeeld");
    // The shell gives way to the daemon, so that signals reach it.
    let run = format!("RUST_LOG={levels} exec {program} {place}/daemon.toml");
    TestProcess::start("sh", &["-c", &run])
}

#[test]
fn no_secrets() {
    let directory = TestDirectory::new("no_secrets");
    let platform = start_platform();
    let daemon = start_logging(&directory, &platform_address(&platform));
    let ops = daemon.address("ops");
    let hash = sk_ops::hash_token(TEAM_TOKEN);
    let output = operate(&ops, MANAGER_TOKEN, &["team", "ledvica", "--token-sha256", &hash]);
    assert!(output.status.success(), "{}", render(&output));
    directory.write("good/ledvica/v.toml", &format!("kind = \"value\"\ntext = \"{BODY_WORDS}\"\n"));
    let route =
        format!("kind = \"route\"\nprefix = \"/{BODY_WORDS}\"\nservice = \"/ledvica/no\"\n");
    directory.write("bad/ledvica/r.toml", &route);
    for (name, token, code) in
        [("good", TEAM_TOKEN, 0), ("bad", TEAM_TOKEN, 1), ("bad", "wrong token", 1)]
    {
        let place = directory.0.join(name);
        let args = ["apply", place.to_str().expect("path"), "--change-id"];
        let by = ["--revision", "r", "--author", "ana"];
        let output = operate(&ops, token, &[&args[..], &[&format!("change-{name}")], &by].concat());
        assert_eq!(output.status.code(), Some(code), "{name}: {}", render(&output));
    }
    let (status, log) = daemon.terminate();
    assert!(status.success());
    let messages: Vec<String> = log.lines().map(message_of).collect();
    let said = messages.join("\n");
    assert!(said.contains("ops: change change-good is version 1."), "{log}");
    assert!(said.contains("ops: change \"change-bad\" ended with status 422."), "{log}");
    let hashes = [hash, sk_ops::hash_token(MANAGER_TOKEN)];
    let hidden = [SECRET, BODY_WORDS, TEAM_TOKEN, MANAGER_TOKEN, "wrong token"];
    for hidden in hidden.into_iter().chain(hashes.iter().map(String::as_str)) {
        assert!(!log.contains(hidden), "{hidden}: {log}");
    }
    for message in &messages {
        let part = message.split_once(": ").map(|(part, _)| part);
        assert!(part.is_some_and(|part| PARTS.contains(&part)), "{message}");
    }
}

/// Reads the message of a line, each of which is one JSON object.
fn message_of(line: &str) -> String {
    let line: serde_json::Value = serde_json::from_str(line).expect("a line is one object");
    line["msg"].as_str().expect("a line has a message").to_owned()
}
