//! A caller that writes bytes of its own choice to an entry daemon.

#![allow(dead_code)] // Each test file uses a part of it.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    time::timeout,
};

const READ_BOUND: Duration = Duration::from_secs(20);

pub struct RawCaller(BufReader<TcpStream>);

#[derive(Debug)]
pub struct RawAnswer {
    pub status: u16,
    /// Header lines in lower case.
    pub head: Vec<String>,
    pub body: Vec<u8>,
}

impl RawAnswer {
    pub fn has_line(&self, line: &str) -> bool {
        self.head.iter().any(|other| other == line)
    }

    /// Returns the tag that the stand-in repeats in its answers.
    pub fn tag(&self) -> String {
        let body: serde_json::Value = serde_json::from_slice(&self.body).expect("JSON");
        body["tag"].as_str().expect("a tag").to_owned()
    }
}

/// Returns the head of a `GET` request for the stand-in.
pub fn get_head(query: &str) -> String {
    head("GET", query, "")
}

/// Returns the head of a request, with further header lines that end in line breaks.
pub fn head(method: &str, query: &str, lines: &str) -> String {
    format!("{method} /query?{query} HTTP/1.1\r\nHost: test\r\n{lines}\r\n")
}

impl RawCaller {
    pub async fn connect(entry: SocketAddr) -> Self {
        Self(BufReader::new(TcpStream::connect(entry).await.expect("a connection")))
    }

    pub async fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.0.get_mut().write_all(bytes.as_ref()).await.expect("bytes are sent");
    }

    /// Reads the next answer; `None` at the end of the connection.
    pub async fn read(&mut self) -> Option<RawAnswer> {
        timeout(READ_BOUND, self.read_answer()).await.expect("an answer in time")
    }

    async fn read_answer(&mut self) -> Option<RawAnswer> {
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            let count = self.0.read_line(&mut line).await.ok()?;
            match line.trim_end() {
                _ if count == 0 => return None,
                "" => break,
                line => head.push(line.to_lowercase()),
            }
        }
        let status = head[0].split(' ').nth(1)?.parse().ok()?;
        let length = head.iter().find_map(|line| line.strip_prefix("content-length: "));
        let mut body = vec![0; length.map_or(0, |length| length.parse().expect("a length"))];
        self.0.read_exact(&mut body).await.ok()?;
        Some(RawAnswer { status, head, body })
    }
}
