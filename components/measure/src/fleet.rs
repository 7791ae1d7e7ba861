//! A fleet of real daemons on loopback, with the platform's stand-in.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::Context;
use http::Method;
use sk_model::ChangeRecord;
use sk_ops::{StateDump, TeamRecord, hash_token};
use sk_report::{ChangeReport, FleetReport};
use sk_settings::{LoopbackSettings, render_loopback_settings};
use sk_standin::PlatformCounts;

use crate::{
    client::JsonClient,
    config::{SERVICE_COUNT, TEAM_TOKEN, first_change, team_name},
    process::{ChildProcess, ProcessUsage},
};

const MANAGER_TOKEN: &str = "measure manager";
/// Time between two reads of the report while waiting for a version.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Seeds in the settings of each daemon, as an operator would list a few long-lived addresses.
const SEED_COUNT: usize = 3;
/// Regions that the data centres are spread over.
const REGION_COUNT: usize = 3;

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of data centres that the daemons are spread over.
    pub data_centres: usize,
    /// Further sections of the daemons' settings in TOML.
    pub settings: String,
}

/// Running fleet with its platform. All its processes are killed when the value is dropped.
pub struct TestFleet {
    plan: FleetPlan,
    platform: ChildProcess,
    /// The daemons by index, none where one was killed.
    daemons: Vec<Option<ChildProcess>>,
    manager_client: JsonClient,
    team_client: JsonClient,
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
        let (manager_client, team_client) =
            (JsonClient::new(MANAGER_TOKEN), JsonClient::new(TEAM_TOKEN));
        let mut fleet = Self { plan, platform, daemons, manager_client, team_client, folder };
        fleet.start_stopped_daemons()?;
        Ok(fleet)
    }

    /// Starts every daemon that is not running.
    ///
    /// # Errors
    ///
    /// Returns an error when one does not start.
    pub fn start_stopped_daemons(&mut self) -> anyhow::Result<()> {
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_none() {
                self.daemons[index] = Some(self.start_daemon(index)?);
            }
        }
        Ok(())
    }

    fn start_daemon(&self, index: usize) -> anyhow::Result<ChildProcess> {
        let running = self.daemons.iter().flatten().take(SEED_COUNT);
        let seeds: Result<Vec<String>, _> =
            running.map(|daemon| daemon.address("control")).collect();
        let data_centre = index % self.plan.data_centres;
        let text = render_loopback_settings(&LoopbackSettings {
            name: &format!("daemon{index:03}"),
            data_centre: &format!("dc{data_centre}"),
            region: &format!("region{}", data_centre % REGION_COUNT),
            platform: &self.platform.printed_address(),
            seeds: &seeds?,
            secret: &format!("secret of the measured fleet {}", std::process::id()),
            manager_sha256: &hash_token(MANAGER_TOKEN),
            extra: &self.plan.settings,
        });
        let file = self.folder.join(format!("daemon{index:03}.toml"));
        std::fs::write(&file, text)?;
        ChildProcess::start(
            "sapphirekeeld",
            &[file.to_str().context("the path of the settings is not UTF-8")?],
        )
    }

    /// Kills a daemon at once, as a crash would.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index] = None;
    }

    /// Returns the number of running daemons.
    pub fn running_count(&self) -> usize {
        self.daemons.iter().flatten().count()
    }

    /// Returns an address of a daemon by name, such as `ops` or `proxy`.
    ///
    /// # Errors
    ///
    /// Returns an error when the daemon is not running.
    pub fn address(&self, index: usize, name: &str) -> anyhow::Result<String> {
        let daemon = self.daemons.get(index).and_then(Option::as_ref);
        daemon.context("daemon is not running")?.address(name)
    }

    /// Returns the address of this name of every running daemon.
    pub fn addresses(&self, name: &str) -> Vec<String> {
        self.daemons.iter().flatten().filter_map(|daemon| daemon.address(name).ok()).collect()
    }

    /// Returns the client with the managers' token.
    pub(crate) fn manager_client(&self) -> &JsonClient {
        &self.manager_client
    }

    /// Returns the address for operators of the first running daemon.
    fn first_ops_address(&self) -> anyhow::Result<String> {
        self.daemons.iter().flatten().next().context("no daemon is running")?.address("ops")
    }

    /// Returns the platform's address.
    pub fn platform_address(&self) -> String {
        self.platform.printed_address()
    }

    /// Reads the platform's call counts.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn platform_counts(&self) -> anyhow::Result<PlatformCounts> {
        self.manager_client.get(&self.platform.printed_address(), "/v1/counts").await
    }

    /// Creates all teams and submits the first change of each. Returns the record of the last
    /// change.
    ///
    /// # Errors
    ///
    /// Returns an error when one of them is refused.
    pub async fn create_services(&self) -> anyhow::Result<ChangeRecord> {
        let ops = self.first_ops_address()?;
        let record = TeamRecord { token_sha256: hash_token(TEAM_TOKEN) };
        let mut last = None;
        for index in 0..SERVICE_COUNT {
            let path = format!("/v1/teams/{}", team_name(index));
            self.manager_client.send(Method::PUT, &ops, &path, &record).await?;
            last = Some(self.submit(&first_change(index)).await?);
        }
        last.context("no service was created")
    }

    /// Submits a change at the first running daemon and returns its record.
    ///
    /// # Errors
    ///
    /// Returns an error when the change is refused.
    pub async fn submit(&self, change: &sk_model::ChangeRequest) -> anyhow::Result<ChangeRecord> {
        let ops = self.first_ops_address()?;
        let body = self.team_client.send(Method::POST, &ops, "/v1/changes", change).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Waits until all running daemons have a version, or a newer one, in force. Returns the time
    /// that it took.
    ///
    /// # Errors
    ///
    /// Returns an error when it takes longer than `timeout`, or when a report cannot be read.
    pub async fn wait_in_force(&self, version: u64, timeout: Duration) -> anyhow::Result<Duration> {
        let begin = Instant::now();
        loop {
            let report: FleetReport =
                self.manager_client.get(&self.first_ops_address()?, "/v1/report").await?;
            let updated = report.proxies.iter().filter(|proxy| proxy.version >= version).count();
            if updated >= self.running_count() {
                return Ok(begin.elapsed());
            }
            let total = report.total;
            anyhow::ensure!(
                begin.elapsed() < timeout,
                "only {updated} of {total} daemons have version {version} in time"
            );
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// Reads the report on how a change reached the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error when the report cannot be read.
    pub async fn change_report(&self, version: u64) -> anyhow::Result<ChangeReport> {
        let path = format!("/v1/report/changes/{version}");
        self.manager_client.get(&self.first_ops_address()?, &path).await
    }

    /// Reads the states of all running daemons, in their order.
    ///
    /// # Errors
    ///
    /// Returns an error when one does not answer.
    pub async fn states(&self) -> anyhow::Result<Vec<StateDump>> {
        let mut states = Vec::new();
        for daemon in self.daemons.iter().flatten() {
            states.push(self.manager_client.get(&daemon.address("ops")?, "/v1/state").await?);
        }
        Ok(states)
    }

    /// Reads the processor time and memory of all running daemons, in their order.
    ///
    /// # Errors
    ///
    /// Returns an error when one has ended.
    pub fn usage(&self) -> anyhow::Result<Vec<ProcessUsage>> {
        self.daemons.iter().flatten().map(ChildProcess::usage).collect()
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
