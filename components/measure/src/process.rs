//! Child processes and what the kernel says of them.

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::Context;

/// Clock ticks a second in `/proc/<pid>/stat`, fixed on Linux for user programs.
const TICKS_PER_SECOND: f64 = 100.0;

/// A process of this run; it ends with the value.
pub struct ChildProcess {
    child: Child,
    ready: String,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUse {
    /// Processor time since the start.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl ChildProcess {
    /// Starts a program that stands beside this one and reads its first line.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start or ends before it says that it is ready.
    pub fn start(program: &str, args: &[&str]) -> anyhow::Result<Self> {
        let path = sibling(program)?;
        let mut child = Command::new(&path)
            .args(args)
            // One worker: hundreds of daemons share this machine, each has its own in the field.
            .env("TOKIO_WORKER_THREADS", "1")
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {}", path.display()))?;
        let mut ready = String::new();
        let stdout = child.stdout.take().context("stdout is piped")?;
        BufReader::new(stdout).read_line(&mut ready)?;
        anyhow::ensure!(!ready.is_empty(), "{program} ended before it was ready");
        Ok(Self { child, ready: ready.trim_end().to_owned() })
    }

    /// Gives the word after `name=` of its first line.
    ///
    /// # Errors
    ///
    /// Returns an error where the line has no such word.
    pub fn address(&self, name: &str) -> anyhow::Result<String> {
        let words = self.ready.split(' ').filter_map(|word| word.split_once('='));
        let mut found = words.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned());
        found.next().with_context(|| format!("no {name} in `{}`", self.ready))
    }

    /// Gives the last word of its first line.
    pub fn last_word(&self) -> String {
        self.ready.rsplit(' ').next().unwrap_or_default().to_owned()
    }

    /// Ends it at once, as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Reads its processor time and memory.
    ///
    /// # Errors
    ///
    /// Returns an error when the process is gone.
    pub fn usage(&self) -> anyhow::Result<ProcessUse> {
        let folder = format!("/proc/{}", self.child.id());
        let stat = std::fs::read_to_string(format!("{folder}/stat"))?;
        // The name in parentheses may hold spaces; fields are counted after it.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
        let seconds = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND;
        let status = std::fs::read_to_string(format!("{folder}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok(ProcessUse {
            processor: Duration::from_secs_f64(seconds),
            memory: kilobytes.unwrap_or(0_u64) * 1024,
        })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn sibling(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("program has a folder")?;
    Ok(folder.join(program))
}
