//! The operators' address: one line to a connection, answered from the figures. It changes nothing.

use crate::dispatcher::Dispatcher;
use crate::membership::MembershipService;
use crate::metrics::MetricsReport;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tracing::{info, warn};

/// Callers at a time. When one more comes, the one that has been there longest goes: who holds a connection
/// without a call must not keep others from theirs.
pub const CALLERS: usize = 12;
/// Connections waiting to be accepted.
const BACKLOG: u32 = 64;
/// Most bytes of a line.
const LINE_MOST: usize = 64;
/// How long a caller may take for its line, and for reading the answer.
const LINE_TIME: Duration = Duration::from_secs(5);
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Most bytes that are read and thrown away after the answer: a close with unread bytes could destroy it.
const REST_MOST: usize = 64 * 1024;
/// Pause before the address is tried again, or the next caller is.
const PAUSE: Duration = Duration::from_millis(50);

/// Answers callers at `address` for as long as the program runs.
pub async fn run(driver: Dispatcher, peers: Option<Rc<MembershipService>>, address: SocketAddr) {
    let listener = listen(address).await;
    if let Ok(address) = listener.local_addr() {
        info!(%address, "operators may call");
    }
    let mut callers = JoinSet::new();
    let mut longest: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    longest.retain(|caller| !caller.is_finished());
                    if longest.len() >= CALLERS {
                        longest.pop_front().iter().for_each(AbortHandle::abort);
                    }
                    longest.push_back(callers.spawn_local(call(driver.clone(), peers.clone(), stream)));
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            },
            // How a call ends concerns the caller alone.
            Some(_) = callers.join_next() => {}
        }
    }
}

/// An address that cannot be had yet must not keep clients from being served.
async fn listen(address: SocketAddr) -> TcpListener {
    let mut told = false;
    loop {
        let listener = TcpSocket::new_v4().and_then(|socket| {
            socket.set_reuseaddr(true)?;
            socket.bind(address)?;
            socket.listen(BACKLOG)
        });
        match listener {
            Ok(listener) => return listener,
            Err(fault) if !std::mem::replace(&mut told, true) => {
                warn!(%address, reason = %fault, "operators' address not to be had, trying on");
            }
            Err(_) => {}
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn call(driver: Dispatcher, peers: Option<Rc<MembershipService>>, mut stream: TcpStream) {
    let answer = match tokio::time::timeout(LINE_TIME, line(&mut stream)).await {
        Ok(Some(line)) => answer(&driver, peers.as_deref(), &line),
        Ok(None) => return,
        Err(_) => "NO not a whole line in time\n".to_owned(),
    };
    let tell = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        let mut rest = stream.take(REST_MOST as u64);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    // A caller that does not take its answer has none.
    let _ = tokio::time::timeout(ANSWER_TIME, tell).await;
}

/// The line without its end, or what came of one that is too long. None: nothing came.
async fn line(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (mut line, mut part) = (Vec::new(), [0; LINE_MOST + 1]);
    while line.len() <= LINE_MOST {
        let count = stream.read(&mut part).await.ok()?;
        line.extend_from_slice(&part[..count]);
        if let Some(end) = line.iter().position(|&b| b == b'\n') {
            line.truncate(end);
            line.pop_if(|last| *last == b'\r');
            return Some(line);
        }
        if count == 0 {
            return (!line.is_empty()).then_some(line);
        }
    }
    Some(line)
}

fn answer(driver: &Dispatcher, peers: Option<&MembershipService>, line: &[u8]) -> String {
    match line {
        b"HEALTH" if driver.is_accepting() => "YES\n".to_owned(),
        b"HEALTH" => "NO clients are not taken any more\n".to_owned(),
        b"DUMP" => {
            let report =
                MetricsReport { peers: peers.and_then(MembershipService::report), ..driver.report() };
            match serde_json::to_string(&report) {
                Ok(figures) => format!("{figures}\nEND\n"),
                Err(fault) => format!("NO {fault}\n"),
            }
        }
        _ => "NO only HEALTH and DUMP are known\n".to_owned(),
    }
}
