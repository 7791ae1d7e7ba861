//! A fleet of real daemons on loopback.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::Context;
use http::Method;
use sk_model::ChangeRecord;
use sk_ops::{StateDump, TeamRecord, hash_token};
use sk_report::{ChangeReport, FleetReport};
use sk_settings::{LoopbackPlan, loopback_text};
use sk_standin::PlatformCounts;

use crate::{
    client::JsonClient,
    config::{SERVICES, TEAM_TOKEN, first_change, team},
    process::{ChildProcess, ProcessUse},
};

const MANAGER_TOKEN: &str = "measure manager";
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Seeds named to each daemon, as an operator would name a few long-lived addresses.
const SEEDS: usize = 3;
const REGIONS: usize = 3;

/// What fleet to start.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Daemons.
    pub daemons: usize,
    /// Data centres they are spread over.
    pub data_centres: usize,
    /// Further settings in TOML.
    pub settings: String,
}

/// A running fleet with its platform.
pub struct TestFleet {
    plan: FleetPlan,
    platform: ChildProcess,
    daemons: Vec<Option<ChildProcess>>,
    manager: JsonClient,
    operator: JsonClient,
    folder: PathBuf,
}

impl TestFleet {
    /// Starts the platform's stand-in and the daemons.
    ///
    /// # Errors
    ///
    /// Returns an error when a process does not start.
    pub fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let folder = std::env::temp_dir().join(format!("sk-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let platform = ChildProcess::start("sk-platform", &[])?;
        let daemons = (0..plan.daemons).map(|_| None).collect();
        let (manager, operator) = (JsonClient::new(MANAGER_TOKEN), JsonClient::new(TEAM_TOKEN));
        let mut fleet = Self { plan, platform, daemons, manager, operator, folder };
        fleet.start_missing()?;
        Ok(fleet)
    }

    /// Starts every daemon that does not run.
    ///
    /// # Errors
    ///
    /// Returns an error when one does not start.
    pub fn start_missing(&mut self) -> anyhow::Result<()> {
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_none() {
                self.daemons[index] = Some(self.start_daemon(index)?);
            }
        }
        Ok(())
    }

    fn start_daemon(&self, index: usize) -> anyhow::Result<ChildProcess> {
        let running = self.daemons.iter().flatten().take(SEEDS);
        let seeds: Result<Vec<String>, _> =
            running.map(|daemon| daemon.address("control")).collect();
        let data_centre = index % self.plan.data_centres;
        let text = loopback_text(&LoopbackPlan {
            name: &format!("daemon{index:03}"),
            data_centre: &format!("dc{data_centre}"),
            region: &format!("region{}", data_centre % REGIONS),
            platform: &self.platform.last_word(),
            seeds: &seeds?,
            secret: &format!("secret of the measured fleet {}", std::process::id()),
            manager_sha256: &hash_token(MANAGER_TOKEN),
            extra: &self.plan.settings,
        });
        let file = self.folder.join(format!("daemon{index:03}.toml"));
        std::fs::write(&file, text)?;
        ChildProcess::start("sapphirekeeld", &[file.to_str().context("path is text")?])
    }

    /// Ends a daemon at once.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Gives the number of daemons that run.
    pub fn running(&self) -> usize {
        self.daemons.iter().flatten().count()
    }

    /// Gives an address of a daemon by name, such as `ops` or `proxy`.
    ///
    /// # Errors
    ///
    /// Returns an error where the daemon does not run.
    pub fn address(&self, index: usize, name: &str) -> anyhow::Result<String> {
        let daemon = self.daemons.get(index).and_then(Option::as_ref);
        daemon.context("daemon runs")?.address(name)
    }

    /// Gives an address of every daemon that runs, by name.
    pub fn addresses(&self, name: &str) -> Vec<String> {
        self.daemons.iter().flatten().filter_map(|daemon| daemon.address(name).ok()).collect()
    }

    /// Gives the client with the managers' token.
    pub(crate) fn manager(&self) -> &JsonClient {
        &self.manager
    }

    fn first_ops(&self) -> anyhow::Result<String> {
        self.daemons.iter().flatten().next().context("a daemon runs")?.address("ops")
    }

    /// Gives the platform's address.
    pub fn platform(&self) -> String {
        self.platform.last_word()
    }

    /// Reads the platform's counters.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn counts(&self) -> anyhow::Result<PlatformCounts> {
        self.manager.get(&self.platform.last_word(), "/v1/counts").await
    }

    /// Creates the teams and accepts their first changes; gives the last record.
    ///
    /// # Errors
    ///
    /// Returns an error when one is refused.
    pub async fn fill(&self) -> anyhow::Result<ChangeRecord> {
        let ops = self.first_ops()?;
        let record = TeamRecord { token_sha256: hash_token(TEAM_TOKEN) };
        let mut last = None;
        for index in 0..SERVICES {
            let path = format!("/v1/teams/{}", team(index));
            self.manager.send(Method::PUT, &ops, &path, &record).await?;
            last = Some(self.submit(&first_change(index)).await?);
        }
        last.context("there are services")
    }

    /// Submits a change at the first daemon that runs.
    ///
    /// # Errors
    ///
    /// Returns an error when it is refused.
    pub async fn submit(&self, change: &sk_model::ChangeRequest) -> anyhow::Result<ChangeRecord> {
        let ops = self.first_ops()?;
        let body = self.operator.send(Method::POST, &ops, "/v1/changes", change).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Waits until as many daemons as run hold a version, and gives the time it took.
    ///
    /// # Errors
    ///
    /// Returns an error when it takes longer than `bound`.
    pub async fn wait_in_force(&self, version: u64, bound: Duration) -> anyhow::Result<Duration> {
        let begin = Instant::now();
        loop {
            let report: FleetReport = self.manager.get(&self.first_ops()?, "/v1/report").await?;
            let holds = report.proxies.iter().filter(|proxy| proxy.version >= version).count();
            if holds >= self.running() {
                return Ok(begin.elapsed());
            }
            let total = report.total;
            anyhow::ensure!(begin.elapsed() < bound, "{holds} of {total} hold {version} in time");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads how a change went.
    ///
    /// # Errors
    ///
    /// Returns an error when the report cannot be read.
    pub async fn change_report(&self, version: u64) -> anyhow::Result<ChangeReport> {
        let path = format!("/v1/report/changes/{version}");
        self.manager.get(&self.first_ops()?, &path).await
    }

    /// Reads the states of all daemons that run.
    ///
    /// # Errors
    ///
    /// Returns an error when one does not answer.
    pub async fn states(&self) -> anyhow::Result<Vec<StateDump>> {
        let mut states = Vec::new();
        for daemon in self.daemons.iter().flatten() {
            states.push(self.manager.get(&daemon.address("ops")?, "/v1/state").await?);
        }
        Ok(states)
    }

    /// Reads the use of processor and memory of all daemons that run.
    ///
    /// # Errors
    ///
    /// Returns an error when one is gone.
    pub fn usage(&self) -> anyhow::Result<Vec<ProcessUse>> {
        self.daemons.iter().flatten().map(ChildProcess::usage).collect()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
