//! Stand-ins and scenarios of the review. `standin SCENARIO RECORD` plays one with the daemons of
//! this repository, and exits with 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
//! With `TROUBLE=0` the disruption is left out.

mod calls;
mod deployment;
mod drain;
mod fleet;
mod link;
mod pipeline;
mod quota;
mod rollout;
mod store;
mod util;

use std::{
    fs,
    panic::{AssertUnwindSafe, catch_unwind},
    path::Path,
    process::exit,
    thread,
    time::Duration,
};

/// Time after which a scenario is given up.
const LONGEST: Duration = Duration::from_secs(100);

/// How a scenario ended.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = arguments.as_slice() else {
        eprintln!("usage: standin SCENARIO RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = std::env::temp_dir().join(format!("sk-review-{}", std::process::id()));
    if fs::create_dir_all(&folder).is_err() || !Path::new("target/release/sapphirekeeld").exists() {
        eprintln!("the daemon is not built, or there is no temporary folder");
        exit(2);
    }
    thread::spawn(|| {
        thread::sleep(LONGEST);
        fleet::end_daemons();
        eprintln!("2: the scenario takes too long");
        exit(2);
    });
    let record = fleet::Record::create(Path::new(record));
    util::now();
    let play = match scenario.as_str() {
        "drain" => drain::play,
        "pipeline" => pipeline::play,
        "calls" => calls::play,
        "quota" => quota::play,
        "rollout" => rollout::play,
        "weak" => rollout::play_weak,
        _ => {
            eprintln!("no such scenario");
            exit(2);
        }
    };
    let verdict = catch_unwind(AssertUnwindSafe(|| play(&folder, &record, has_trouble)));
    fleet::end_daemons();
    let _ = fs::remove_dir_all(&folder);
    let (code, text) = match verdict {
        Ok(Ok(verdict)) => (i32::from(verdict.is_broken), verdict.text),
        Ok(Err(reason)) => (2, format!("could not run: {reason}")),
        Err(_) => (2, "could not run: the stand-in failed".to_owned()),
    };
    record.line(&format!("verdict {code}: {text}"));
    println!("{code}: {text}");
    exit(code);
}
