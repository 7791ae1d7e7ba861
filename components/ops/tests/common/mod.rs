//! An operators' interface with a fake daemon that counts the calls that reach it.

#![allow(dead_code)] // Each test file uses only a part of this module.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use sk_model::{ChangeRecord, ChangeRequest, TeamName, Version};
use sk_ops::{
    HeartbeatBody, LeaveBody, OperatorPort, OpsError, OpsHandle, ServerAnnouncement, SettingsView,
    StateDump, TeamRecord, hash_token, start_ops,
};
use sk_report::{ChangeReport, FleetReport};
use tokio::runtime::Runtime;

pub const MANAGER: &str = "manager token";
pub const TEAM: &str = "team token";
/// A team that was created without a token.
pub const TOKENLESS_TEAM: &str = "shut";

/// A daemon with three teams and one change, which counts reads and writes.
pub struct FakePort {
    manager_sha256: String,
    pub writes: AtomicUsize,
    pub reads: AtomicUsize,
}

impl FakePort {
    pub fn new(manager_sha256: String) -> Arc<Self> {
        Arc::new(Self { manager_sha256, writes: AtomicUsize::new(0), reads: AtomicUsize::new(0) })
    }

    fn count_read(&self) {
        self.reads.fetch_add(1, Ordering::SeqCst);
    }

    fn count_write(&self) {
        self.writes.fetch_add(1, Ordering::SeqCst);
    }

    pub fn write_count(&self) -> usize {
        self.writes.load(Ordering::SeqCst)
    }
}

pub fn record() -> ChangeRecord {
    ChangeRecord {
        version: 1,
        change_id: "c1".to_owned(),
        team: "ledvica".to_owned(),
        author: "ana".to_owned(),
        revision: "r".to_owned(),
        accepted_at: 1,
        written: vec!["/ledvica/a".to_owned()],
        withdrawn: Vec::new(),
    }
}

#[async_trait]
impl OperatorPort for FakePort {
    fn manager_sha256(&self) -> &str {
        &self.manager_sha256
    }

    async fn team(&self, team: &str) -> Result<Option<TeamRecord>, OpsError> {
        let token_sha256 = match team {
            "ledvica" => hash_token(TEAM),
            "rest" => hash_token("another"),
            TOKENLESS_TEAM => String::new(),
            _ => return Ok(None),
        };
        Ok(Some(TeamRecord { token_sha256 }))
    }

    async fn put_team(&self, _: &TeamName, _: TeamRecord) -> Result<(), OpsError> {
        self.count_write();
        Ok(())
    }

    async fn submit(&self, _: ChangeRequest) -> Result<ChangeRecord, OpsError> {
        self.count_write();
        Ok(record())
    }

    async fn find_change(&self, change_id: &str) -> Result<Option<ChangeRecord>, OpsError> {
        self.count_read();
        Ok((change_id == "c1").then(record))
    }

    async fn read_newest(&self) -> Result<SettingsView, OpsError> {
        self.count_read();
        Ok(SettingsView { version: 1, teams: BTreeMap::new() })
    }

    async fn history(&self, _: Version, _: usize) -> Result<Vec<ChangeRecord>, OpsError> {
        self.count_read();
        Ok(vec![record()])
    }

    async fn report(&self) -> Result<FleetReport, OpsError> {
        self.count_read();
        Err(OpsError::NotAccepted { retry_at: 1 })
    }

    async fn change_report(&self, version: Version) -> Result<ChangeReport, OpsError> {
        self.count_read();
        Err(OpsError::NotFound { what: format!("version {version}") })
    }

    fn state(&self) -> StateDump {
        unreachable!("no test here asks for it")
    }

    fn own_ips(&self) -> Vec<IpAddr> {
        vec![Ipv4Addr::new(10, 0, 0, 7).into()]
    }

    fn ready(&self) -> Option<Version> {
        None
    }

    async fn handle_heartbeat(
        &self,
        _: &str,
        _: HeartbeatBody,
        _: SocketAddr,
    ) -> Result<(), OpsError> {
        Ok(())
    }

    async fn deregister_server(&self, _: &str, _: LeaveBody) -> Result<(), OpsError> {
        Ok(())
    }

    fn announce_server(&self, _: ServerAnnouncement, _: SocketAddr) -> Result<(), OpsError> {
        self.count_write();
        Ok(())
    }
}

/// A started interface.
pub struct TestServer {
    pub port: Arc<FakePort>,
    address: SocketAddr,
    // Stops when the runtime is dropped.
    _handle: OpsHandle,
    _runtime: Runtime,
}

/// An answer's status and body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// Returns the kind of the refusal, `None` where the body is not a typed error.
    pub fn refusal(&self) -> Option<String> {
        let body: serde_json::Value = serde_json::from_str(&self.body).ok()?;
        serde_json::from_value::<OpsError>(body.clone()).ok()?;
        Some(body["refusal"].as_str()?.to_owned())
    }
}

impl TestServer {
    pub fn start(manager_sha256: String) -> Self {
        let runtime = Runtime::new().expect("runtime");
        let port = FakePort::new(manager_sha256);
        let handle = {
            let _entered = runtime.enter();
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            start_ops(address, port.clone()).expect("interface starts")
        };
        Self { port, address: handle.address(), _handle: handle, _runtime: runtime }
    }

    pub fn call(&self, method: &str, path: &str, token: &str, body: &[u8]) -> Answer {
        let headers =
            format!("Authorization: Bearer {token}\r\nContent-Type: application/json\r\n");
        self.call_raw(method, path, headers.as_bytes(), body)
    }

    pub fn call_raw(&self, method: &str, path: &str, headers: &[u8], body: &[u8]) -> Answer {
        let mut stream = TcpStream::connect(self.address).expect("connection");
        stream.set_read_timeout(Some(Duration::from_secs(30))).expect("timeout");
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n",
            body.len()
        )
        .into_bytes();
        request.extend([headers, b"\r\n", body].concat());
        // The interface may answer and close before it has read a body that it refuses.
        let _ = stream.write_all(&request);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        let (head, body) = answer.split_once("\r\n\r\n").expect("an answer");
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        Answer { status: status.expect("a status"), body: body.to_owned() }
    }
}
