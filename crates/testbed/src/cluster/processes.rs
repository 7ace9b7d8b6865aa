//! Runs the proxies as processes: starts them as the platform does, sends them signals, and leaves none
//! behind.

use super::discovery::Agent;
use super::listener::{address, bound_address, reserve, Role};
use super::record::{Observation, ProcessEvent, Shared};
use nix::sys::signal::{kill, Signal as UnixSignal};
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

/// Start-up timeout of a proxy (DEPLOY: clients connect after 30 s).
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between health checks of a starting proxy.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of the file descriptor of an inherited listener.
const INHERITED_FD: &str = "7";
/// Shell script that moves the listener from standard input to that descriptor, as the platform does.
const LISTENER_SCRIPT: &str = "exec 7<&0 0</dev/null; exec \"$0\" \"$@\"";

/// A program that runs as a proxy.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program `oakport-testbed`, which replaces itself by the proxy's executable and ends when the
    /// starting process does.
    pub launcher: PathBuf,
    /// The executable of the proxy.
    pub path: PathBuf,
    /// Arguments of the executable.
    pub arguments: Vec<String>,
    /// Additional environment variables.
    pub environment: Vec<(String, String)>,
}

impl Program {
    /// `oakport serve` at this path.
    pub fn oakport(launcher: &Path, path: &Path) -> Self {
        Program::new(launcher, path, vec!["serve".to_owned()])
    }

    /// The testbed's own forwarder, which violates one rule if `broken` names it.
    pub fn forwarder(launcher: &Path, broken: Option<&str>) -> Self {
        let broken = broken.into_iter().flat_map(|how| ["--broken".to_owned(), how.to_owned()]);
        Program::new(launcher, launcher, ["forward".to_owned()].into_iter().chain(broken).collect())
    }

    fn new(launcher: &Path, path: &Path, arguments: Vec<String>) -> Self {
        Program { launcher: launcher.to_owned(), path: path.to_owned(), arguments, environment: Vec::new() }
    }
}

/// Addresses of a proxy as a member of the membership.
pub struct Peer {
    /// Address at which the proxy sends and receives datagrams.
    pub address: SocketAddr,
    /// Address at which the other proxies reach this one.
    pub advertise: SocketAddr,
    /// Peers that it contacts first.
    pub seeds: Vec<SocketAddr>,
    /// Admin endpoint, which reports the proxy's view of the membership.
    pub admin: SocketAddr,
    /// Reserves the address of the admin endpoint.
    pub _holder: Socket,
}

impl Peer {
    /// Allocates addresses for `number` proxies, the first `seeds` of which are the seed peers.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub fn all(number: usize, seeds: usize) -> std::io::Result<Vec<Peer>> {
        let mut all = Vec::new();
        for n in 0..number {
            // The port stays free after the socket is closed, as no other party uses this proxy's address.
            let datagram_address = std::net::UdpSocket::bind(address(Role::Proxy, n))?.local_addr()?;
            let holder = reserve(address(Role::Proxy, n))?;
            let admin = bound_address(&holder)?;
            all.push(Peer {
                address: datagram_address,
                advertise: datagram_address,
                seeds: Vec::new(),
                admin,
                _holder: holder,
            });
        }
        Peer::set_seeds(&mut all, seeds);
        Ok(all)
    }

    /// Makes the first `seeds` proxies the seed peers of all, at their advertised addresses.
    pub fn set_seeds(all: &mut [Peer], seeds: usize) {
        let seeds: Vec<SocketAddr> = all.iter().take(seeds).map(|peer| peer.advertise).collect();
        all.iter_mut().for_each(|peer| peer.seeds = seeds.clone());
    }
}

/// Starts, signals and ends the successive processes of one proxy, which share one address.
pub struct ProxySupervisor {
    /// Number of the proxy.
    pub number: usize,
    /// Address at which clients connect.
    pub address: SocketAddr,
    /// Reserves the address; is the listening socket if processes inherit the listener.
    holder: Socket,
    inherits_listener: bool,
    agent: Arc<Agent>,
    discovery: SocketAddr,
    directory: TempDir,
    logs: Option<PathBuf>,
    /// Membership addresses, if the proxies are peers.
    peer: Option<Peer>,
    /// Admin endpoint and the socket that reserves its address, if `enable_admin` was called.
    admin: Option<(SocketAddr, Socket)>,
    /// Modifies the configuration file before it is written.
    config_override: fn(&mut Value),
    shared: Arc<Shared>,
    child: Option<Child>,
    starts: u32,
}

impl ProxySupervisor {
    /// A supervisor without a process yet. With `inherits_listener`, the testbed opens the listener and
    /// processes inherit it.
    pub fn new(
        shared: &Arc<Shared>,
        agent: &Arc<Agent>,
        number: usize,
        discovery: SocketAddr,
        inherits_listener: bool,
        logs: Option<&Path>,
    ) -> std::io::Result<Self> {
        const BACKLOG: i32 = 1_024;
        let holder = reserve(address(Role::Proxy, number))?;
        if inherits_listener {
            holder.listen(BACKLOG)?;
        }
        Ok(ProxySupervisor {
            number,
            address: bound_address(&holder)?,
            holder,
            inherits_listener,
            agent: Arc::clone(agent),
            discovery,
            directory: tempfile::Builder::new().prefix("oakport-rig-").tempdir()?,
            logs: logs.map(Path::to_owned),
            peer: None,
            admin: None,
            config_override: |_| (),
            shared: Arc::clone(shared),
            child: None,
            starts: 0,
        })
    }

    /// Makes processes started from now on peers of the other proxies.
    pub fn set_peer(&mut self, peer: Peer) {
        self.peer = Some(peer);
    }

    /// Enables the admin endpoint of processes started from now on, and returns its address.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub fn enable_admin(&mut self) -> std::io::Result<SocketAddr> {
        let holder = reserve(address(Role::Proxy, self.number))?;
        let admin = bound_address(&holder)?;
        self.admin = Some((admin, holder));
        Ok(admin)
    }

    /// Modifies the configuration file of processes started from now on.
    pub fn set_config_override(&mut self, config_override: fn(&mut Value)) {
        self.config_override = config_override;
    }

    fn record(&self, event: ProcessEvent) {
        self.shared.record(Observation::Process { proxy: self.number, at: self.shared.now(), event });
    }

    /// Contents of the configuration file (DEPLOY, "What a client proxy is told").
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
        if let Some(peer) = &self.peer {
            file["operator"] = json!(peer.admin);
            file["peers"] = json!({
                "address": peer.address, "advertise": peer.advertise, "seeds": peer.seeds, "fleet": "rig",
                "zone": self.shared.scenario.zones[self.shared.zone(self.number)],
            });
        }
        if let Some((address, _)) = &self.admin {
            file["operator"] = json!(address);
        }
        (self.config_override)(&mut file);
        file
    }

    /// Path of the configuration file of the last started process.
    pub fn config_path(&self) -> PathBuf {
        self.directory.path().join(format!("config-{}.json", self.starts))
    }

    /// Starts a process and returns the previous one, if any, which is sent no signal.
    ///
    /// # Errors
    /// Fails if the process cannot be started; the message contains the program's path.
    pub fn start(&mut self, program: &Program) -> Result<Option<Child>, String> {
        let start_error = |e: std::io::Error| format!("cannot start {}: {e}", program.path.display());
        self.starts += 1;
        let config_path = self.config_path();
        std::fs::write(&config_path, self.configuration().to_string()).map_err(start_error)?;
        let mut command = if self.inherits_listener {
            let mut command = Command::new("/bin/sh");
            command.args(["-c", LISTENER_SCRIPT]).arg(&program.launcher).env("RELAY_ACCEPT_FD", INHERITED_FD);
            let listener: OwnedFd = self.holder.try_clone().map_err(start_error)?.into();
            command.stdin(listener);
            command
        } else {
            let mut command = Command::new(&program.launcher);
            command.stdin(Stdio::null());
            command
        };
        command.arg("hold").arg(&program.path).args(&program.arguments);
        command.envs(program.environment.iter().map(|(name, text)| (name, text)));
        command.env("RELAY_NAME", format!("n{}", self.number)).env("RELAY_CONFIG", &config_path);
        command.env("RELAY_LISTEN", self.address.to_string());
        command.env("RELAY_DISCOVERY", self.discovery.to_string()).env("TMPDIR", self.directory.path());
        command.process_group(0).kill_on_drop(true).stdout(Stdio::null());
        command.stderr(match &self.logs {
            Some(directory) => {
                let path = directory.join(format!("n{}-{}.log", self.number, self.starts));
                let log = std::fs::File::create(&path)
                    .map_err(|e| format!("cannot create log file {}: {e}", path.display()))?;
                Stdio::from(log)
            }
            None => Stdio::null(),
        });
        let child = command.spawn().map_err(start_error)?;
        self.record(ProcessEvent::Started);
        Ok(self.child.replace(child))
    }

    /// Waits until the process accepts requests.
    ///
    /// # Errors
    /// Fails if the process ends before it is ready, or is not ready within the start-up timeout.
    pub async fn ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if let Some(status) = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                return Err(format!("proxy n{} ended before it was ready: {status}", self.number));
            }
            if timeout(START_TIMEOUT, is_healthy(self.address)).await.is_ok_and(|healthy| healthy) {
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(format!("proxy n{} was not ready within {START_TIMEOUT:?}", self.number));
            }
            sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    fn signal(&self, child: Option<&Child>, signal: UnixSignal) {
        if let Some(pid) = child.and_then(Child::id).and_then(|id| i32::try_from(id).ok()) {
            // Ignored: the process may have ended already.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Process ID of the running process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Kills the process.
    pub async fn kill(&mut self) {
        self.record(ProcessEvent::Killed);
        if let Some(mut child) = self.child.take() {
            // Ignored: the process may have ended already.
            let _ = child.kill().await;
        }
    }

    /// Stops the process with SIGSTOP, or continues it with SIGCONT.
    pub fn stall(&self, stalled: bool) {
        let (signal, event) = match stalled {
            true => (UnixSignal::SIGSTOP, ProcessEvent::Stopped),
            false => (UnixSignal::SIGCONT, ProcessEvent::Continued),
        };
        self.record(event);
        self.signal(self.child.as_ref(), signal);
    }

    /// Makes the process reload its configuration file (SIGHUP).
    pub fn reload(&self) {
        self.signal(self.child.as_ref(), UnixSignal::SIGHUP);
    }

    /// Makes the process reload its configuration file while that is truncated to half its size, and restores
    /// the file after `pause`.
    ///
    /// # Errors
    /// Fails if the file cannot be read or written.
    pub async fn reload_invalid(&self, pause: Duration) -> std::io::Result<()> {
        let text = std::fs::read(self.config_path())?;
        std::fs::write(self.config_path(), &text[..text.len() / 2])?;
        self.reload();
        sleep(pause).await;
        std::fs::write(self.config_path(), &text)
    }

    /// Requests a graceful shutdown of the process (SIGTERM).
    pub fn terminate(&self) {
        self.record(ProcessEvent::TermSent);
        self.signal(self.child.as_ref(), UnixSignal::SIGTERM);
    }

    /// Waits for the process to end after SIGTERM, and kills it after `grace`.
    pub async fn end(&mut self, grace: Duration) {
        if let Some(child) = self.child.take() {
            if wait_or_kill(child, grace).await {
                self.record(ProcessEvent::KilledAfterTerm);
            }
        }
    }

    /// Ends a predecessor whose successor has taken over: sends SIGTERM, waits, and kills it after `grace`.
    /// The proxy always has a running process, so the judge excuses no failed call by this end.
    pub async fn retire(&self, predecessor: Child, grace: Duration) {
        self.record_retirement(false);
        self.signal(Some(&predecessor), UnixSignal::SIGTERM);
        if wait_or_kill(predecessor, grace).await {
            self.record_retirement(true);
        }
    }

    fn record_retirement(&self, is_killed: bool) {
        self.shared.record(Observation::PredecessorSignaled {
            proxy: self.number,
            at: self.shared.now(),
            is_killed,
        });
    }

    /// Records a crash if the process has ended without being requested to.
    pub fn check_exit(&mut self) {
        if self.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|ended| ended.is_some())) {
            self.child = None;
            self.record(ProcessEvent::Crashed);
        }
    }
}

/// Waits for the end of a process and kills it after `grace`. Returns whether it was killed.
async fn wait_or_kill(mut child: Child, grace: Duration) -> bool {
    let is_late = timeout(grace, child.wait()).await.is_err();
    if is_late {
        // Ignored: the process may have ended already.
        let _ = child.kill().await;
    }
    is_late
}

/// Whether a proxy answers its health check with 200.
async fn is_healthy(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: localhost\r\n\r\n").await;
    let mut start = [0; 12];
    sent.is_ok() && stream.read_exact(&mut start).await.is_ok() && start.ends_with(b" 200")
}

/// The settings in the format of the proxy's configuration file (WIRE, "Settings").
fn settings(shared: &Shared, proxy: usize) -> Value {
    let scenario = &shared.scenario;
    let classes = scenario.classes.iter().map(|c| {
        json!({
            "name": c.name, "objective_us": c.latency_objective, "deadline_us": c.client_timeout,
            "worth": c.priority_weight, "late_value": 0.0,
            "idempotency": if c.idempotency == IdempotencySpec::Idempotent { "free" } else { "single_shot" },
        })
    });
    let server = &scenario.server;
    let goal = &scenario.goal;
    json!({
        "balancers": scenario.balancers, "tick_us": 1000,
        "discovery": if scenario.discovery.poll_interval.is_some() { "ask" } else { "push" },
        "locality": scenario.zones[shared.zone(proxy)],
        "classes": classes.collect::<Vec<_>>(),
        "limits": {
            "cancel": true, "probes": false, "second_copies": true, "max_attempts": 3, "retry_after": true,
            "max_retry_after_us": scenario.clients.max_retry_after, "max_open": 10_000,
            "conn_idle_us": server.idle_timeout, "connect_timeout_us": scenario.network.connect_timeout,
        },
        "invariants": {
            "cold_from": server.initial_capacity_ratio, "cold_us": server.warm_up_duration,
            "tip_after_us": server.cold_overload_window,
            "fall_multiple": server.cold_overload_factor, "drain_grace_us": scenario.discovery.drain_grace,
            "ask_every_us": scenario.discovery.poll_interval.unwrap_or(0),
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
