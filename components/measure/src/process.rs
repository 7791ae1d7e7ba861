//! Child processes and what the kernel says of them.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
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

/// What a process can be told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// To end as planned.
    Terminate,
    /// To stand still.
    Pause,
    /// To go on.
    Continue,
    /// That its settings have changed.
    Hangup,
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
        let mut child = command(program, args)?
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {program}"))?;
        let stdout = child.stdout.take().context("stdout is piped")?;
        let ready = read_ready(&mut BufReader::new(stdout), program)?;
        Ok(Self { child, ready })
    }

    /// Starts a program and keeps all that it prints in a file.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start, ends before it says that it is ready, or the file
    /// cannot be written.
    pub fn start_logged(program: &str, args: &[&str], log: &Path) -> anyhow::Result<Self> {
        let file = File::create(log).with_context(|| format!("cannot write {}", log.display()))?;
        let mut child = command(program, args)?
            .stdout(Stdio::piped())
            .stderr(file.try_clone()?)
            .spawn()
            .with_context(|| format!("cannot start {program}"))?;
        let mut stdout = BufReader::new(child.stdout.take().context("stdout is piped")?);
        let ready = read_ready(&mut stdout, program)?;
        let mut file = file;
        std::thread::spawn(move || {
            if let Err(err) = std::io::copy(&mut stdout, &mut file) {
                log::warn!("measure: the output of a process is lost: {err}.");
            }
        });
        Ok(Self { child, ready })
    }

    /// Sends it a signal.
    ///
    /// # Errors
    ///
    /// Returns an error when it is gone.
    pub fn signal(&self, signal: ProcessSignal) -> anyhow::Result<()> {
        let signal = match signal {
            ProcessSignal::Terminate => rustix::process::Signal::TERM,
            ProcessSignal::Pause => rustix::process::Signal::STOP,
            ProcessSignal::Continue => rustix::process::Signal::CONT,
            ProcessSignal::Hangup => rustix::process::Signal::HUP,
        };
        let pid = rustix::process::Pid::from_child(&self.child);
        Ok(rustix::process::kill_process(pid, signal)?)
    }

    /// Tells whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        // An error means that it was waited for already.
        !matches!(self.child.try_wait(), Ok(None))
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

fn command(program: &str, args: &[&str]) -> anyhow::Result<Command> {
    let mut command = Command::new(sibling(program)?);
    // One worker: hundreds of daemons share this machine, each has its own in the field.
    command.args(args).env("TOKIO_WORKER_THREADS", "1");
    Ok(command)
}

/// Reads the line that says where the process listens; logs are JSON objects and may come first.
fn read_ready(stdout: &mut impl BufRead, program: &str) -> anyhow::Result<String> {
    loop {
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        anyhow::ensure!(!line.is_empty(), "{program} ended before it was ready");
        if !line.starts_with('{') {
            return Ok(line.trim_end().to_owned());
        }
    }
}

fn sibling(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("program has a folder")?;
    // Tests run from a folder below the one that holds the programs.
    let found = [folder.join(program), folder.join("..").join(program)];
    found.into_iter().find(|path| path.exists()).with_context(|| format!("{program} is not built"))
}
