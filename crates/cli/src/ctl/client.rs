//! Client of the admin endpoint's line protocol.

use oakport_proxy::MetricsReport;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// Timeout to connect, and of each read and write: twice the 1 s within which a healthy process answers.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of an answer; the rest is not read.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Why a query failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The process answers that it does not accept clients.
    #[error("{0} does not accept clients")]
    NotAccepting(SocketAddr),
    /// The process has no membership configured, or has not bound its membership address yet.
    #[error("{0} has no membership: set `peers` in its configuration, or wait until its address is bound")]
    NoMembership(SocketAddr),
    /// Nothing listens at the address.
    #[error(
        "no admin endpoint listens at {0}: is the process running, with `operator` set in its configuration?"
    )]
    ConnectionRefused(SocketAddr),
    /// No answer within the timeout.
    #[error("no answer from {0} within {timeout}", timeout = humantime::format_duration(TIMEOUT))]
    TimedOut(SocketAddr),
    /// The connection failed for another reason.
    #[error("query to admin endpoint {address} failed: {source}")]
    Connection {
        /// The address queried.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The connection was closed without an answer.
    #[error("{0} closed the connection without an answer: too many connections, or not an oakport process")]
    NoAnswer(SocketAddr),
    /// The answer to `DUMP` is not a metrics report.
    #[error("{address} answered DUMP without metrics: {first_line}")]
    UnexpectedAnswer {
        /// The address queried.
        address: SocketAddr,
        /// First line of the answer.
        first_line: String,
    },
    /// The answer to `DUMP` cannot be parsed.
    #[error("{address} sent metrics that cannot be parsed: {source}")]
    InvalidMetrics {
        /// The address queried.
        address: SocketAddr,
        /// What is wrong with the JSON.
        source: serde_json::Error,
    },
    /// The report could not be converted back to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Sends one request line and reads the answer until the process closes the connection.
pub fn query(address: SocketAddr, request: &str) -> Result<String, CtlError> {
    let answer = exchange(address, request).map_err(|error| match error.kind() {
        io::ErrorKind::ConnectionRefused => CtlError::ConnectionRefused(address),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => CtlError::TimedOut(address),
        _ => CtlError::Connection { address, source: error },
    })?;
    if answer.is_empty() {
        return Err(CtlError::NoAnswer(address));
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

fn exchange(address: SocketAddr, request: &str) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{request}\n").as_bytes())?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer)?;
    Ok(answer)
}

/// The metrics as the JSON that the process sent.
pub fn metrics_json(address: SocketAddr) -> Result<String, CtlError> {
    let answer = query(address, "DUMP")?;
    match answer.strip_suffix("\nEND\n") {
        Some(json) => Ok(json.to_owned()),
        None => {
            let first_line = answer.lines().next().unwrap_or_default().to_owned();
            Err(CtlError::UnexpectedAnswer { address, first_line })
        }
    }
}

/// The metrics of the process.
pub fn metrics(address: SocketAddr) -> Result<MetricsReport, CtlError> {
    let json = metrics_json(address)?;
    serde_json::from_str(&json).map_err(|source| CtlError::InvalidMetrics { address, source })
}
