//! A listener that can be switched between open, closed and silent, and keeps its address reserved
//! throughout.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Mutex, PoisonError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Length of the accept queue.
const BACKLOG: i32 = 1_024;
/// Connections that fill the accept queue of a silent listener, so that further ones are never established.
const FILLER_CONNECTIONS: usize = 3;

/// What a listener currently does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerState {
    up: bool,
    silent: bool,
    /// Incremented each time the listener is closed or its connections are reset.
    pub generation: u32,
}

/// A listener and its current state.
pub struct SwitchableListener {
    /// Listening address.
    pub address: SocketAddr,
    /// Reserves the port while nothing listens on it.
    _holder: Socket,
    /// Queues connections that arrive before `serve` is called.
    initial_listener: Mutex<Option<TcpListener>>,
    state: watch::Sender<ListenerState>,
}

/// Role of a party of the test cluster. Each party has its own address, derived from role and number.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// Servers.
    Server = 1,
    /// Proxies.
    Proxy = 2,
    /// Discovery agents.
    Agent = 3,
    /// Relays.
    Relay = 4,
}

/// Loopback address of a party, with port 0, so that the kernel selects the port.
pub fn address(role: Role, number: usize) -> SocketAddr {
    let number = number as u16;
    SocketAddr::from((Ipv4Addr::new(127, role as u8, (number >> 8) as u8, (number & 0xff) as u8), 0))
}

/// Binds a socket that reserves an address without preventing others from listening on it.
pub fn reserve(address: SocketAddr) -> Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// The address to which a socket is bound.
pub fn bound_address(socket: &Socket) -> Result<SocketAddr> {
    let address = socket.local_addr()?.as_socket();
    address.ok_or_else(|| std::io::Error::other("socket is not bound to an IP address"))
}

/// Listens on a reserved address.
fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = reserve(address)?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

impl SwitchableListener {
    /// Reserves an address and listens on it; connections that arrive before `serve` is called are queued.
    pub fn new(address: SocketAddr) -> Result<Self> {
        let holder = reserve(address)?;
        let state = watch::Sender::new(ListenerState { up: true, silent: false, generation: 0 });
        let address = bound_address(&holder)?;
        let initial_listener = Mutex::new(Some(listen(address)?));
        Ok(SwitchableListener { address, _holder: holder, initial_listener, state })
    }

    /// Switches silence on or off. While silent, no data passes and new connections are never established.
    pub fn silence(&self, silent: bool) {
        self.state.send_if_modified(|state| std::mem::replace(&mut state.silent, silent) != silent);
    }

    /// Refuses new connections and ends the open ones.
    pub fn close(&self) {
        self.state.send_modify(|state| {
            *state = ListenerState { up: false, silent: false, generation: state.generation + 1 }
        });
    }

    /// Ends the open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Refuses new connections, or accepts them again; open connections stay open.
    pub fn refuse(&self, refuses: bool) {
        self.state.send_if_modified(|state| std::mem::replace(&mut state.up, !refuses) == refuses);
    }

    /// Accepts connections again.
    pub fn open(&self) {
        self.state.send_modify(|state| state.up = true);
    }

    /// Subscribes to changes of the state.
    pub fn watch(&self) -> watch::Receiver<ListenerState> {
        self.state.subscribe()
    }

    /// Accepts connections whenever the listener is open, and passes each with the current generation to
    /// `on_connection`. Never returns.
    pub async fn serve(&self, on_connection: impl Fn(TcpStream, u32)) {
        let mut state = self.state.subscribe();
        let mut listener = self.initial_listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        loop {
            let now = *state.borrow_and_update();
            if !now.up {
                listener = None;
            } else if listener.is_none() {
                listener = listen(self.address).ok();
            }
            let Some(open) = listener.as_ref().filter(|_| !now.silent) else {
                let fillers = listener.as_ref().map(|l| fill_accept_queue(l, self.address));
                if state.changed().await.is_err() {
                    return;
                }
                drop(fillers);
                if let Some(listener) = &listener {
                    // Best effort: on failure the accept queue stays short.
                    let _ = SockRef::from(listener).listen(BACKLOG);
                }
                continue;
            };
            tokio::select! {
                accepted = open.accept() => if let Ok((stream, _)) = accepted {
                    on_connection(stream, now.generation)
                },
                changed = state.changed() => if changed.is_err() { return },
            }
        }
    }
}

/// Waits until the listener is not silent.
pub async fn wait_until_not_silent(mut state: watch::Receiver<ListenerState>) {
    let _ = state.wait_for(|state| !state.silent).await;
}

/// Waits until the connections of this generation are to be ended.
pub async fn wait_for_reset(state: &mut watch::Receiver<ListenerState>, generation: u32) {
    let _ = state.wait_for(|state| state.generation != generation).await;
}

/// Fills the accept queue of a listener that accepts no connections. Dropping the result closes the fillers.
fn fill_accept_queue(listener: &TcpListener, address: SocketAddr) -> tokio::task::JoinSet<()> {
    let mut fillers = tokio::task::JoinSet::new();
    // Best effort: on failure new connections are established, but are silent too.
    let _ = SockRef::from(listener).listen(0);
    for _ in 0..FILLER_CONNECTIONS {
        fillers.spawn(async move {
            let _open = TcpStream::connect(address).await;
            std::future::pending::<()>().await;
        });
    }
    fillers
}
