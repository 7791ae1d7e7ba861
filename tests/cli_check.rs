//! `check` prints the file, line and key of each fault, and ignores no entry silently.

mod common;

use std::process::{Command, Output};

use common::{TestDirectory, render_output};
use expect_test::{Expect, expect};

const SERVICE: &str = "kind = \"service\"\n";

/// Runs the command line in a directory.
fn run(args: &[&str], directory: &TestDirectory) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sapphirekeel"))
        .args(args)
        .current_dir(&directory.0)
        .env_remove("SAPPHIREKEEL_DAEMON")
        .output()
        .expect("command line runs")
}

/// Checks the directory and compares the output.
fn check(directory: &TestDirectory, expected: Expect) {
    expected.assert_eq(&render_output(&run(&["check", "."], directory)));
}

#[test]
fn all_good() {
    let directory = TestDirectory::new("check_good");
    directory.write("ledvica/board.toml", SERVICE);
    directory.write("ledvica/board/deep.toml", SERVICE);
    directory.write("ledvica/NOTES.md", "notes");
    directory.write("README.md", "notes");
    directory.write(".git/config", "hidden");
    directory.write("ledvica/.hidden", "hidden");
    check(
        &directory,
        expect![[r#"
        .: 2 good declarations
        exit 0
    "#]],
    );
    let output = run(&["check", "--json", "."], &directory);
    expect![[r#"
        [
          {
            "path": ".",
            "found": "2 good declarations",
            "faults": []
          }
        ]
        exit 0
    "#]]
    .assert_eq(&render_output(&output));
}

#[test]
fn each_fault() {
    let directory = TestDirectory::new("check_faults");
    directory.write("ledvica/a.toml", "kind = \"service\"\n\ncolour = \"red\"\n");
    directory.write("ledvica/b.tmol", SERVICE);
    directory.write("ledvica/Upper.toml", SERVICE);
    directory.write("ledvica/dir.toml/c.toml", SERVICE);
    directory.write("ledvica/large.toml", &"# filled\n".repeat(10_000));
    directory.write("ledvica/route.toml", "kind = \"route\"\nservice = \"/x/y\"\nprefix = \"x\"\n");
    directory.write("no-team.toml", SERVICE);
    directory.write("Team/d.toml", SERVICE);
    check(
        &directory,
        expect![[r#"
            ./Team: path `Team` has the bad segment `Team`; allowed: a-z 0-9 - _ .
            ./ledvica/Upper.toml: path `/ledvica/Upper` has the bad segment `Upper`; allowed: a-z 0-9 - _ .
            ./ledvica/a.toml:3:1: unknown field `colour`, expected one of `description`, `connections`, `health_path` (/ledvica/a)
            ./ledvica/b.tmol: neither `.toml` nor `.md`; refused, as it may be mistyped
            ./ledvica/dir.toml: a directory named as a declaration
            ./ledvica/large.toml:1:1: declaration is larger than 65536 bytes (/ledvica/large)
            ./ledvica/route.toml:3:1: `prefix` is x; allowed: a path that begins with `/` (/ledvica/route)
            ./no-team.toml: belongs to no team; allowed: DIR/<team>/<name>.toml
            exit 1
        "#]],
    );
}

#[test]
fn whole_configuration() {
    let directory = TestDirectory::new("check_whole");
    directory.write("ledvica/r.toml", "kind = \"route\"\nservice = \"/x/y\"\nprefix = \"/x\"\n");
    directory.write("rest/r.toml", "kind = \"route\"\nservice = \"/x/y\"\nprefix = \"/x\"\n");
    check(
        &directory,
        expect![[r#"
        .: route /ledvica/r names the service /x/y, which does not exist
        .: route /rest/r names the service /x/y, which does not exist
        .: routes /ledvica/r and /rest/r both claim */x
        exit 1
    "#]],
    );
}

#[test]
fn cyclic_links() {
    let directory = TestDirectory::new("check_links");
    directory.write("ledvica/a.toml", SERVICE);
    std::os::unix::fs::symlink(&directory.0, directory.0.join("ledvica/link")).expect("link");
    let output = run(&["check", "."], &directory);
    assert_eq!(output.status.code(), Some(1));
    assert!(render_output(&output).contains("bytes are too long"), "{}", render_output(&output));
}

#[test]
fn bad_settings() {
    let directory = TestDirectory::new("check_settings");
    directory.write("a.toml", "[instance]\nname = \"A\"\n");
    let output = run(&["check", "a.toml", "missing.toml"], &directory);
    expect![[r#"
        a.toml:1:1: missing field `data_centre`
        missing.toml: No such file or directory (os error 2)
        exit 1
    "#]]
    .assert_eq(&render_output(&output));
}

#[test]
fn usage_codes() {
    let directory = TestDirectory::new("check_usage");
    for args in [&[][..], &["chekc"], &["check"], &["plan"], &["get"], &["apply", "."]] {
        let output = run(args, &directory);
        assert_eq!(output.status.code(), Some(2), "{args:?}: {}", render_output(&output));
    }
}

#[test]
fn help_everywhere() {
    let directory = TestDirectory::new("check_help");
    let commands = ["demo", "check", "plan", "apply", "withdraw", "get", "report", "state", "team"];
    for command in commands {
        let output = run(&[command, "--help"], &directory);
        assert!(output.status.success(), "{command}: {}", render_output(&output));
        assert!(render_output(&output).contains("--help"), "{command}: {}", render_output(&output));
        assert!(
            !render_output(&output).contains("Arguments of"),
            "{command}: {}",
            render_output(&output)
        );
    }
    let output = run(&["check", "--help"], &directory);
    assert!(
        render_output(&output).contains("Any other name is refused"),
        "{}",
        render_output(&output)
    );
}

#[test]
fn bad_time() {
    // A misread time would show changes of another day.
    let directory = TestDirectory::new("check_time");
    let output = run(&["report", "--until", "yesterday"], &directory);
    assert_eq!(output.status.code(), Some(2));
    assert!(render_output(&output).contains("neither milliseconds"), "{}", render_output(&output));
}
