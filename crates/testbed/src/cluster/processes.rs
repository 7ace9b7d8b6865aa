//! The proxies as processes: started as the platform starts them, met by signals, and never left behind.

use super::discovery::Agent;
use super::listener::{address, bound_address, reserve, Role};
use super::record::{Seen, Shared, Signal};
use nix::sys::signal::{kill, Signal as Number};
use nix::unistd::Pid;
use oakport_simulator::scenario::IdempotencySpec;
use serde_json::{json, Value};
use socket2::Socket;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Longest wait for a proxy to be ready (DEPLOY: clients come after 30 s).
const READY: Duration = Duration::from_secs(30);
/// Between two looks at something that must come.
const LOOK: Duration = Duration::from_millis(5);
/// The descriptor at which an inherited listener is told of.
const INHERITED: &str = "7";
/// Makes the inherited listener that descriptor, as the platform does.
const SCRIPT: &str = "exec 7<&0 0</dev/null; exec \"$0\" \"$@\"";

/// A program that can be a proxy.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program `oakport-testbed`, which becomes the file and dies with whoever started it.
    pub lab: PathBuf,
    /// The file.
    pub path: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// More of its environment.
    pub environment: Vec<(String, String)>,
}

impl Program {
    /// `oakport serve` at this path.
    pub fn oakport(lab: &Path, path: &Path) -> Self {
        Program::of(lab, path, vec!["serve".to_owned()])
    }

    /// The lab's own forwarder, which may break a rule.
    pub fn forwarder(lab: &Path, broken: Option<&str>) -> Self {
        let broken = broken.into_iter().flat_map(|how| ["--broken".to_owned(), how.to_owned()]);
        Program::of(lab, lab, ["forward".to_owned()].into_iter().chain(broken).collect())
    }

    fn of(lab: &Path, path: &Path, arguments: Vec<String>) -> Self {
        Program { lab: lab.to_owned(), path: path.to_owned(), arguments, environment: Vec::new() }
    }
}

/// Where a proxy is a peer of others.
pub struct Peer {
    /// Where it sends and receives.
    pub address: SocketAddr,
    /// Where the others reach it.
    pub advertise: SocketAddr,
    /// Whom it asks first.
    pub seeds: Vec<SocketAddr>,
    /// Where it is asked what it holds.
    pub operator: SocketAddr,
    /// Keeps that address.
    pub _holder: Socket,
}

impl Peer {
    /// Addresses for proxies of these numbers; `seeds` of them are asked first.
    ///
    /// # Errors
    /// A socket cannot be had.
    pub fn all(number: usize, seeds: usize) -> std::io::Result<Vec<Peer>> {
        let mut all = Vec::new();
        for n in 0..number {
            // The port is this proxy's alone: nobody else has its address.
            let place = std::net::UdpSocket::bind(address(Role::Proxy, n))?.local_addr()?;
            let holder = reserve(address(Role::Proxy, n))?;
            let operator = bound_address(&holder)?;
            all.push(Peer { address: place, advertise: place, seeds: Vec::new(), operator, _holder: holder });
        }
        Peer::set_seeds(&mut all, seeds);
        Ok(all)
    }

    /// Each knows the first few where they are reached.
    pub fn set_seeds(all: &mut [Peer], seeds: usize) {
        let seeds: Vec<SocketAddr> = all.iter().take(seeds).map(|peer| peer.advertise).collect();
        all.iter_mut().for_each(|peer| peer.seeds = seeds.clone());
    }
}

/// Where the processes of one proxy run.
pub struct ProxySupervisor {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Keeps the address; listens itself if processes inherit the listener.
    holder: Socket,
    inherits: bool,
    agent: Arc<Agent>,
    discovery: SocketAddr,
    folder: TempDir,
    logs: Option<PathBuf>,
    /// Where it and others are peers, if they are.
    peers: Option<Peer>,
    /// Where its processes answer operators, if they do, and what keeps that address.
    operator: Option<(SocketAddr, Socket)>,
    /// What is other in its file than on the site.
    other: fn(&mut Value),
    shared: Arc<Shared>,
    child: Option<Child>,
    starts: u32,
}

impl ProxySupervisor {
    /// A seat with no process. With `inherits` the rig listens and processes take its listener over.
    pub fn new(
        shared: &Arc<Shared>,
        agent: &Arc<Agent>,
        number: usize,
        discovery: SocketAddr,
        inherits: bool,
        logs: Option<&Path>,
    ) -> std::io::Result<Self> {
        const BACKLOG: i32 = 1_024;
        let holder = reserve(address(Role::Proxy, number))?;
        if inherits {
            holder.listen(BACKLOG)?;
        }
        Ok(ProxySupervisor {
            number,
            address: bound_address(&holder)?,
            holder,
            inherits,
            agent: Arc::clone(agent),
            discovery,
            folder: tempfile::Builder::new().prefix("oakport-rig-").tempdir()?,
            logs: logs.map(Path::to_owned),
            peers: None,
            operator: None,
            other: |_| (),
            shared: Arc::clone(shared),
            child: None,
            starts: 0,
        })
    }

    /// Its processes are peers of others from now on.
    pub fn set_peer(&mut self, peers: Peer) {
        self.peers = Some(peers);
    }

    /// Its processes answer operators from now on, at the address that is returned.
    ///
    /// # Errors
    /// A socket cannot be had.
    pub fn enable_admin(&mut self) -> std::io::Result<SocketAddr> {
        let holder = reserve(address(Role::Proxy, self.number))?;
        let operator = bound_address(&holder)?;
        self.operator = Some((operator, holder));
        Ok(operator)
    }

    /// Its file is other than the site's from the next start on.
    pub fn set_config_override(&mut self, other: fn(&mut Value)) {
        self.other = other;
    }

    fn saw(&self, what: Signal) {
        self.shared.saw(Seen::Process { proxy: self.number, at: self.shared.now(), what });
    }

    /// What the process is told (DEPLOY, "What a client proxy is told").
    fn configuration(&self) -> Value {
        let seed =
            oakport_simulator::random::policy_seed(self.shared.seed ^ u64::from(self.starts), self.number);
        let mut file = json!({
            "name": format!("n{}", self.number), "listen": self.address, "discovery": self.discovery,
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.agent.initial_list(),
            "settings": settings(&self.shared, self.number),
        });
        if let Some(peers) = &self.peers {
            file["operator"] = json!(peers.operator);
            file["peers"] = json!({
                "address": peers.address, "advertise": peers.advertise, "seeds": peers.seeds, "fleet": "rig",
                "zone": self.shared.day.zones[self.shared.zone(self.number)],
            });
        }
        if let Some((operator, _)) = &self.operator {
            file["operator"] = json!(operator);
        }
        (self.other)(&mut file);
        file
    }

    /// The file of the process that was started last.
    pub fn config_path(&self) -> PathBuf {
        self.folder.path().join(format!("config-{}.json", self.starts))
    }

    /// Starts a process beside the one that runs, which is returned.
    ///
    /// # Errors
    /// It cannot be started, with its path.
    pub fn start(&mut self, program: &Program) -> Result<Option<Child>, String> {
        let odd = |e: std::io::Error| format!("{}: cannot be started: {e}", program.path.display());
        self.starts += 1;
        let file = self.config_path();
        std::fs::write(&file, self.configuration().to_string()).map_err(odd)?;
        let mut command = if self.inherits {
            let mut command = Command::new("/bin/sh");
            command.args(["-c", SCRIPT]).arg(&program.lab).env("RELAY_ACCEPT_FD", INHERITED);
            let listener: OwnedFd = self.holder.try_clone().map_err(odd)?.into();
            command.stdin(listener);
            command
        } else {
            let mut command = Command::new(&program.lab);
            command.stdin(Stdio::null());
            command
        };
        command.arg("hold").arg(&program.path).args(&program.arguments);
        command.envs(program.environment.iter().map(|(name, text)| (name, text)));
        command.env("RELAY_NAME", format!("n{}", self.number)).env("RELAY_CONFIG", &file);
        command.env("RELAY_LISTEN", self.address.to_string());
        command.env("RELAY_DISCOVERY", self.discovery.to_string()).env("TMPDIR", self.folder.path());
        command.process_group(0).kill_on_drop(true).stdout(Stdio::null());
        command.stderr(match &self.logs {
            Some(folder) => {
                let path = folder.join(format!("n{}-{}.log", self.number, self.starts));
                let log = std::fs::File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
                Stdio::from(log)
            }
            None => Stdio::null(),
        });
        let child = command.spawn().map_err(odd)?;
        self.saw(Signal::Started);
        Ok(self.child.replace(child))
    }

    /// Waits until the process takes requests.
    ///
    /// # Errors
    /// It ends first, or is not ready in its time.
    pub async fn ready(&mut self) -> Result<(), String> {
        let end = Instant::now() + READY;
        loop {
            if let Some(status) = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                return Err(format!("proxy n{} ended before it was ready: {status}", self.number));
            }
            if timeout(READY, healthy(self.address)).await.is_ok_and(|well| well) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("proxy n{} was not ready within {READY:?}", self.number));
            }
            sleep(LOOK).await;
        }
    }

    fn signal(&self, child: Option<&Child>, number: Number) {
        if let Some(pid) = child.and_then(Child::id).and_then(|id| i32::try_from(id).ok()) {
            // It may have ended already.
            let _ = kill(Pid::from_raw(pid), number);
        }
    }

    /// The number of the process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        self.saw(Signal::Killed);
        if let Some(mut child) = self.child.take() {
            // It may have ended already.
            let _ = child.kill().await;
        }
    }

    /// Stops the process where it stands, or lets it go on.
    pub fn stall(&self, stalled: bool) {
        let (number, what) = match stalled {
            true => (Number::SIGSTOP, Signal::Stopped),
            false => (Number::SIGCONT, Signal::Continued),
        };
        self.saw(what);
        self.signal(self.child.as_ref(), number);
    }

    /// Tells the process to read its file again.
    pub fn reload(&self) {
        self.signal(self.child.as_ref(), Number::SIGHUP);
    }

    /// Tells the process to read its file while that is cut in half; it is whole again afterwards.
    ///
    /// # Errors
    /// The file cannot be read or written.
    pub async fn reload_invalid(&self, pause: Duration) -> std::io::Result<()> {
        let text = std::fs::read(self.config_path())?;
        std::fs::write(self.config_path(), &text[..text.len() / 2])?;
        self.reload();
        sleep(pause).await;
        std::fs::write(self.config_path(), &text)
    }

    /// Tells the process to end.
    pub fn terminate(&self) {
        self.saw(Signal::Told);
        self.signal(self.child.as_ref(), Number::SIGTERM);
    }

    /// Waits for a process that has been told to end; after `most` it is killed.
    pub async fn end(&mut self, most: Duration) {
        if let Some(child) = self.child.take() {
            if finish(child, most).await {
                self.saw(Signal::KilledAfterTold);
            }
        }
    }

    /// Tells a process that another has relieved to end, and waits for it. The seat is never without a process, so that
    /// nothing is excused by this end.
    pub async fn retire(&self, old: Child, most: Duration) {
        self.saw_relieved(false);
        self.signal(Some(&old), Number::SIGTERM);
        if finish(old, most).await {
            self.saw_relieved(true);
        }
    }

    fn saw_relieved(&self, is_killed: bool) {
        self.shared.saw(Seen::Relieved { proxy: self.number, at: self.shared.now(), is_killed });
    }

    /// Notes an end that nobody had asked for.
    pub fn check_exit(&mut self) {
        if self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|ended| ended.is_some())) {
            self.child = None;
            self.saw(Signal::Crashed);
        }
    }
}

/// Waits for the end of a process, and kills it after `most`. Whether that was necessary.
async fn finish(mut child: Child, most: Duration) -> bool {
    let is_late = timeout(most, child.wait()).await.is_err();
    if is_late {
        // It may have ended already.
        let _ = child.kill().await;
    }
    is_late
}

/// Whether a proxy answers 200 when it is asked for its health.
async fn healthy(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let asked = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: localhost\r\n\r\n").await;
    let mut start = [0; 12];
    asked.is_ok() && stream.read_exact(&mut start).await.is_ok() && start.ends_with(b" 200")
}

/// The settings of the site as a proxy is told them (WIRE, "Settings").
fn settings(shared: &Shared, proxy: usize) -> Value {
    let day = &shared.day;
    let classes = day.classes.iter().map(|c| {
        json!({
            "name": c.name, "objective_us": c.latency_objective, "deadline_us": c.client_timeout,
            "worth": c.priority_weight, "late_value": 0.0,
            "idempotency": if c.idempotency == IdempotencySpec::Idempotent { "free" } else { "single_shot" },
        })
    });
    let (server, goal) = (&day.server, &day.goal);
    json!({
        "balancers": day.balancers, "tick_us": 1000,
        "discovery": if day.discovery.poll_interval.is_some() { "ask" } else { "push" },
        "locality": day.zones[shared.zone(proxy)],
        "classes": classes.collect::<Vec<_>>(),
        "limits": {
            "cancel": true, "probes": false, "second_copies": true, "max_attempts": 3, "retry_after": true,
            "max_retry_after_us": day.clients.max_retry_after, "max_open": 10_000,
            "conn_idle_us": server.idle_timeout, "connect_timeout_us": day.network.connect_timeout,
        },
        "invariants": {
            "cold_from": server.initial_capacity_ratio, "cold_us": server.warm_up_duration,
            "tip_after_us": server.cold_overload_window,
            "fall_multiple": server.cold_overload_factor, "drain_grace_us": day.discovery.drain_grace,
            "ask_every_us": day.discovery.poll_interval.unwrap_or(0),
        },
        "result_mix": {
            "whole": goal.overall, "worst_class": goal.worst_class, "worst_tenant": 0.0,
            "worst_window": goal.worst_window,
        },
        "charges": {
            "cross_zone": goal.cross_zone, "probe": 0.0, "handshake": goal.handshake,
            "waste": goal.wasted_work,
            "late_fail": goal.late_failure,
        },
    })
}
