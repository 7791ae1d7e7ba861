//! Child processes: starts, signals, processor time and memory.

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

/// Child process that is killed when the value is dropped.
pub struct ChildProcess {
    child: Child,
    /// First line of its standard output that is not a log line; it contains its addresses.
    ready_line: String,
}

/// Signals that a process can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: drains and ends.
    Terminate,
    /// SIGSTOP: stops running until [`ProcessSignal::Continue`].
    Pause,
    /// SIGCONT: runs again after [`ProcessSignal::Pause`].
    Continue,
    /// SIGHUP: reads its settings again.
    Hangup,
}

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Processor time since the process started.
    pub processor_time: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

impl ChildProcess {
    /// Starts a program from the folder of this one and waits for its first line.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start or ends before it prints that it is ready.
    pub fn start(program: &str, args: &[&str]) -> anyhow::Result<Self> {
        let mut child = program_command(program, args)?
            .stdout(Stdio::piped())
            .spawn()
            .with_context(|| format!("cannot start {program}"))?;
        let stdout = child.stdout.take().context("the standard output is not piped")?;
        let ready_line = read_ready_line(&mut BufReader::new(stdout), program)?;
        Ok(Self { child, ready_line })
    }

    /// Starts a program as [`ChildProcess::start`] does and writes all its further output to a
    /// file.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot start or ends before it prints that it is ready, or when the
    /// file cannot be created.
    pub fn start_logged(program: &str, args: &[&str], log: &Path) -> anyhow::Result<Self> {
        let file = File::create(log).with_context(|| format!("cannot write {}", log.display()))?;
        let mut child = program_command(program, args)?
            .stdout(Stdio::piped())
            .stderr(file.try_clone()?)
            .spawn()
            .with_context(|| format!("cannot start {program}"))?;
        let mut stdout =
            BufReader::new(child.stdout.take().context("the standard output is not piped")?);
        let ready_line = read_ready_line(&mut stdout, program)?;
        let mut file = file;
        std::thread::spawn(move || {
            if let Err(err) = std::io::copy(&mut stdout, &mut file) {
                log::warn!(
                    "measure: cannot write the log file of a process; its output is lost: {err}."
                );
            }
        });
        Ok(Self { child, ready_line })
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended.
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

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        // An error means that its end was already collected.
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the address after `name=` in its first line, such as `ops` or `proxy`.
    ///
    /// # Errors
    ///
    /// Returns an error when the line has no address of this name.
    pub fn address(&self, name: &str) -> anyhow::Result<String> {
        let addresses = self.ready_line.split(' ').filter_map(|field| field.split_once('='));
        let mut found =
            addresses.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned());
        found.next().with_context(|| format!("no address `{name}` in `{}`", self.ready_line))
    }

    /// Returns the address at the end of its first line, as the stand-ins print it.
    pub fn printed_address(&self) -> String {
        self.ready_line.rsplit(' ').next().unwrap_or_default().to_owned()
    }

    /// Kills the process at once, as a crash would.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Reads the processor time and memory of the process from `/proc`.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has ended.
    pub fn usage(&self) -> anyhow::Result<ProcessUsage> {
        let folder = format!("/proc/{}", self.child.id());
        let stat = std::fs::read_to_string(format!("{folder}/stat"))?;
        // The program's name in parentheses may contain spaces; the fields are counted after it.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
        let seconds = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND;
        let status = std::fs::read_to_string(format!("{folder}/status"))?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|line| line.split_whitespace().next()?.parse().ok());
        Ok(ProcessUsage {
            processor_time: Duration::from_secs_f64(seconds),
            memory: kilobytes.unwrap_or(0_u64) * 1024,
        })
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Creates the command that starts a program of this workspace.
fn program_command(program: &str, args: &[&str]) -> anyhow::Result<Command> {
    let mut command = Command::new(find_program(program)?);
    // One worker thread: hundreds of daemons share this machine, while each has its own in
    // production.
    command.args(args).env("TOKIO_WORKER_THREADS", "1");
    Ok(command)
}

/// Reads the line with the addresses at which the process listens. Log lines, which are JSON
/// objects, may precede it and are skipped.
fn read_ready_line(stdout: &mut impl BufRead, program: &str) -> anyhow::Result<String> {
    loop {
        let mut line = String::new();
        stdout.read_line(&mut line)?;
        anyhow::ensure!(!line.is_empty(), "{program} ended before it was ready");
        if !line.starts_with('{') {
            return Ok(line.trim_end().to_owned());
        }
    }
}

/// Finds a program of this workspace beside the running one.
fn find_program(program: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().context("the running program has no folder")?;
    // Tests run from a folder below the one of the programs.
    let found = [folder.join(program), folder.join("..").join(program)];
    found.into_iter().find(|path| path.exists()).with_context(|| format!("{program} is not built"))
}
